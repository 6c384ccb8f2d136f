#pragma once

#include "modules/berylcrank_http/message/http_message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace berylcrank {

/** Tracks the bytes of a download, so that it can be resumed at another upstream.
    @see idempotent_flow
*/
class download_progress {
public:
    enum class match : std::uint8_t {
        same,      ///< The response continues the download at exactly the next byte.
        different, ///< The response has another version or range; the download cannot continue.
        failed,    ///< The upstream failed; another one may continue.
    };

    /** Starts a download with the head of the first response to a GET request. */
    void begin(const http_response_head& head, std::optional<std::uint64_t> content_bytes);

    /** Counts bytes that were passed to the caller. */
    void advance(std::uint64_t bytes) { next_ += bytes; }

    /** True if the rest can be requested: the response has a strong entity tag and a known length. */
    [[nodiscard]] bool is_resumable() const { return !etag_.empty(); }

    /** True if every byte was passed to the caller, or if the length is not known. */
    [[nodiscard]] bool is_complete() const { return !has_length_ || next_ == end_; }

    /** Replaces `Range` and `If-Range` in `headers` to request the rest. */
    void add_range_headers(std::vector<http_header>& headers) const;

    /** Compares the response to a request for the rest with the expected version and range. */
    [[nodiscard]] match check(const http_response_head& head,
                              std::optional<std::uint64_t> content_bytes) const;

private:
    std::string etag_;       ///< Empty if the download cannot be resumed.
    std::uint64_t next_{0};  ///< Offset of the next byte in the whole object.
    std::uint64_t end_{0};   ///< Offset after the last byte that the caller requested.
    std::uint64_t total_{0}; ///< Size of the whole object.
    bool has_length_{false};
};

} // namespace berylcrank
