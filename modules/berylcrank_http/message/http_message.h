#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** One HTTP header. Names compare without regard to case. @see find_header */
struct http_header {
    std::string name;
    std::string value;

    bool operator==(const http_header&) const = default;
};

/** A request from a caller, with its whole body. @see http_exchange */
struct http_request {
    std::string method;
    std::string path; ///< Path and query as received, starting with a slash.
    std::vector<http_header> headers;
    std::string body;
};

/** Status and headers of an answer. @see http_exchange::start_response */
struct http_response_head {
    int status{200};
    std::vector<http_header> headers;
};

/** A whole answer. @see http_exchange::answer */
struct http_response {
    http_response_head head;
    std::string body;
};

/** The value of the first header called `name`; nothing if there is none. */
std::optional<std::string_view> find_header(std::span<const http_header> headers, std::string_view name);

/** Number of headers called `name`. */
std::size_t count_headers(std::span<const http_header> headers, std::string_view name);

} // namespace berylcrank
