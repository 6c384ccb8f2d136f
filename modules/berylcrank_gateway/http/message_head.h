#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylcrank {

/** Header fields in the order of arrival. */
using header_list = std::vector<std::pair<std::string, std::string>>;

/** Returns the first value of a header field, or null if it is missing. Names are case-insensitive. */
const std::string* find_header(const header_list& headers, std::string_view name);

/** Returns true for a field that a proxy does not forward: hop-by-hop fields, and Content-Length and Expect,
    which the proxy handles itself. */
bool is_hop_by_hop_header(std::string_view name);

/** Returns true if two header names are equal. Ignores case. */
bool header_names_equal(std::string_view a, std::string_view b);

/** Start line and header of a request. */
struct request_head {
    std::string method;
    std::string target;
    int version{11}; ///< HTTP version: 10 times the major number plus the minor number.
    header_list headers;
    bool keep_alive{true};
};

/** Start line and header of a response. */
struct response_head {
    int status{0};
    std::string reason;
    header_list headers;
    bool keep_alive{true};
    std::optional<std::uint64_t> length; ///< Missing if the body is chunked or ends with the connection.
};

} // namespace berylcrank
