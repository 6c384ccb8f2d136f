#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylcrank {

/** Header fields in order of arrival. */
using header_list = std::vector<std::pair<std::string, std::string>>;

/** First value of a header field; names compare without case. Null if it is missing. */
const std::string* find_header(const header_list& headers, std::string_view name);

/** Whether a field concerns only one connection and is not passed on, or is set anew by the sender. */
bool is_connection_header(std::string_view name);

/** Whether two header names are the same; case does not count. */
bool same_header(std::string_view a, std::string_view b);

/** Start line and header of a request. */
struct request_head {
    std::string method;
    std::string target;
    int version{11}; ///< 10 times the major number plus the minor one.
    header_list headers;
    bool keep_alive{true};
};

/** Start line and header of a response. */
struct response_head {
    int status{0};
    std::string reason;
    header_list headers;
    bool keep_alive{true};
    std::optional<std::uint64_t> length; ///< Missing for a body that is chunked or ends with the connection.
};

} // namespace berylcrank
