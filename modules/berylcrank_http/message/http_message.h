#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** One HTTP header. `find_header` and `count_headers` ignore the case of names. @see find_header */
struct http_header {
    std::string name;
    std::string value;

    bool operator==(const http_header&) const = default;
};

/** A request from a caller, with its complete body. @see http_exchange */
struct http_request {
    std::string method;
    std::string path; ///< Path and query as received, starting with a slash.
    std::vector<http_header> headers;
    std::string body;
};

/** Status and headers of a response. @see http_exchange::start_response */
struct http_response_head {
    int status{200};
    std::vector<http_header> headers;
};

/** A complete response. @see http_exchange::respond */
struct http_response {
    http_response_head head;
    std::string body;
};

/** Returns the value of the first header with the given name, or nothing if there is none. */
std::optional<std::string_view> find_header(std::span<const http_header> headers, std::string_view name);

/** Returns the number of headers with the given name. */
std::size_t count_headers(std::span<const http_header> headers, std::string_view name);

} // namespace berylcrank
