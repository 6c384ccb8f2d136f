#pragma once

#include <optional>
#include <string>
#include <sys/socket.h>

namespace berylcrank {

/** An IP address and port as the operating system takes it. @see parse_socket_address */
struct socket_address {
    sockaddr_storage storage{};
    socklen_t length{0};

    [[nodiscard]] const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

/** Reads `127.0.0.1:80` or `[::1]:80`; nothing for host names or other text. */
std::optional<socket_address> parse_socket_address(const std::string& text);

/** `address` with its port replaced. */
std::string with_port(const std::string& address, unsigned port);

} // namespace berylcrank
