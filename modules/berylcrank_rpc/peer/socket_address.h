#pragma once

#include <optional>
#include <string>
#include <sys/socket.h>

namespace berylcrank {

/** An IP address and port in the form used by socket functions. @see parse_socket_address */
struct socket_address {
    sockaddr_storage storage{};
    socklen_t length{0};

    [[nodiscard]] const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/** Parses text such as `127.0.0.1:80` or `[::1]:80`. Returns nothing for host names and other text. */
std::optional<socket_address> parse_socket_address(const std::string& text);

/** Returns `address` with its port replaced. */
std::string with_port(const std::string& address, unsigned port);

} // namespace berylcrank
