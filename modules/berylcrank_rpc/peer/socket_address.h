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

/** Parses text such as `127.0.0.1:80` or `[::1]:80`. Returns nothing for any other text, such as a
    host name. */
std::optional<socket_address> parse_socket_address(const std::string& text);

/** Returns `address`, which must contain a port, with the port replaced. */
std::string with_port(const std::string& address, unsigned port);

} // namespace berylcrank
