#pragma once

#include "modules/berylcrank_http/message/http_message.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace berylcrank {

/** Parses the head of an upstream's response line by line and validates its framing.

    @see transfer
*/
class response_head_parser {
public:
    enum class parse_status : std::uint8_t {
        incomplete, ///< More lines are needed.
        complete,   ///< The head of the final response is complete.
        malformed,  ///< Not an HTTP/1.1 response, or the length of its body is not defined.
    };

    /** Prepares for the next response. A response to HEAD needs no body length. */
    void reset(bool is_head_request);

    /** Parses one line, including its line break. Ignores lines after the head (trailers). */
    parse_status parse_line(std::string_view line);

    /** Returns the head. It is complete after `parse_status::complete`, and the caller may move from it. */
    http_response_head& head() { return head_; }

    /** Returns the declared length of the body in bytes, or nothing if there is no Content-Length. */
    [[nodiscard]] std::optional<std::uint64_t> content_bytes() const { return content_bytes_; }

    /** Returns true after `parse_status::complete`. */
    [[nodiscard]] bool is_complete() const { return is_complete_; }

private:
    parse_status parse_status_line(std::string_view line);
    parse_status finish_head();

    http_response_head head_;
    std::size_t head_bytes_{0};
    std::optional<std::uint64_t> content_bytes_;
    bool is_head_request_{false};
    bool is_complete_{false};
};

} // namespace berylcrank
