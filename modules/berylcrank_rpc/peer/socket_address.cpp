#include "modules/berylcrank_rpc/peer/socket_address.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace berylcrank {

std::optional<socket_address> parse_socket_address(const std::string& text) {
    constexpr unsigned max_port = 65535;
    const auto colon = text.rfind(':');
    unsigned port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > max_port) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    socket_address address;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        auto& v6 = reinterpret_cast<sockaddr_in6&>(address.storage);
        v6.sin6_family = AF_INET6;
        v6.sin6_port = htons(static_cast<std::uint16_t>(port));
        address.length = sizeof(v6);
        host = host.substr(1, host.size() - 2);
        return ::inet_pton(AF_INET6, host.c_str(), &v6.sin6_addr) == 1 ? std::optional{address}
                                                                       : std::nullopt;
    }
    auto& v4 = reinterpret_cast<sockaddr_in&>(address.storage);
    v4.sin_family = AF_INET;
    v4.sin_port = htons(static_cast<std::uint16_t>(port));
    address.length = sizeof(v4);
    return ::inet_pton(AF_INET, host.c_str(), &v4.sin_addr) == 1 ? std::optional{address} : std::nullopt;
}

std::string with_port(const std::string& address, unsigned port) {
    return absl::StrCat(address.substr(0, address.rfind(':') + 1), port);
}

} // namespace berylcrank
