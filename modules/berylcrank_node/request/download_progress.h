#pragma once

#include "modules/berylcrank_http/message/http_message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace berylcrank {

/** Keeps account of a download's bytes, so that it can be continued at another upstream.

    @see idempotent_flow
*/
class download_progress {
public:
    enum class match : std::uint8_t {
        same,      ///< The answer continues the download at exactly the next byte.
        different, ///< It is another version or another part; the download cannot continue.
        failed,    ///< The upstream refused; another one may continue.
    };

    /** Takes the head of the first answer to a GET request. */
    void begin(const http_response_head& head, std::optional<std::uint64_t> content_bytes);

    /** Counts bytes that were given to the caller. */
    void advance(std::uint64_t bytes) { next_ += bytes; }

    /** True if the rest can be asked for: the answer has a strong entity tag and a known length. */
    [[nodiscard]] bool is_resumable() const { return !etag_.empty(); }

    /** True if every byte was given to the caller, or if the length is not known. */
    [[nodiscard]] bool is_whole() const { return !has_length_ || next_ == end_; }

    /** `Range` and `If-Range` for the rest, in place of those in `headers`. */
    void ask_for_rest(std::vector<http_header>& headers) const;

    /** Compares the answer to `ask_for_rest` with what must follow. */
    [[nodiscard]] match check(const http_response_head& head,
                              std::optional<std::uint64_t> content_bytes) const;

private:
    std::string etag_;       ///< Empty if the download cannot be resumed.
    std::uint64_t next_{0};  ///< Offset of the next byte in the whole object.
    std::uint64_t end_{0};   ///< Offset after the last byte that the caller asked for.
    std::uint64_t total_{0}; ///< Size of the whole object.
    bool has_length_{false};
};

} // namespace berylcrank
