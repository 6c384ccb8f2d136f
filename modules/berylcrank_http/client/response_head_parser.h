#pragma once

#include "modules/berylcrank_http/message/http_message.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace berylcrank {

/** Collects the head of an upstream's answer from single lines and checks its framing.

    @see transfer
*/
class response_head_parser {
public:
    enum class step : std::uint8_t {
        more,      ///< Further lines follow.
        complete,  ///< The head of the final answer is whole.
        malformed, ///< Not an HTTP/1.1 answer whose length is known.
    };

    /** Begins a new answer to a request with the given method. */
    void reset(bool is_head_request);

    /** Takes a line with its line end. Lines after the head (trailers) are ignored. */
    step take(std::string_view line);

    /** The head; taken from after `step::complete`. */
    http_response_head& head() { return head_; }

    /** Length of the body as declared; nothing if it is chunked. */
    [[nodiscard]] std::optional<std::uint64_t> content_bytes() const { return content_bytes_; }

    /** True after `step::complete`. */
    [[nodiscard]] bool is_complete() const { return is_complete_; }

private:
    step take_status(std::string_view line);
    step finish();

    http_response_head head_;
    std::size_t head_bytes_{0};
    std::optional<std::uint64_t> content_bytes_;
    bool is_head_request_{false};
    bool is_complete_{false};
};

} // namespace berylcrank
