#pragma once

#include "modules/berylcrank_rpc/peer/socket_address.h"

#include <array>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace berylcrank::testing {

/** A socket that sends and receives plain bytes. */
class raw_socket {
public:
    explicit raw_socket(int fd) : fd_(fd) { REQUIRE(fd >= 0); }
    ~raw_socket() { ::close(fd_); }
    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;

    static raw_socket connected(const std::string& address) {
        const auto to = parse_socket_address(address);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        REQUIRE(::connect(fd, to->get(), to->length) == 0);
        return raw_socket(fd);
    }

    static raw_socket listening() {
        const auto at = parse_socket_address("127.0.0.1:0");
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        REQUIRE(::bind(fd, at->get(), at->length) == 0);
        REQUIRE(::listen(fd, 16) == 0);
        return raw_socket(fd);
    }

    [[nodiscard]] std::string address() const {
        sockaddr_in at{};
        socklen_t length = sizeof(at);
        REQUIRE(::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &length) == 0);
        return "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
    }

    [[nodiscard]] raw_socket accept() const { return raw_socket(::accept(fd_, nullptr, nullptr)); }
    void send(const std::string& bytes) const { ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
    void end_sending() const { ::shutdown(fd_, SHUT_WR); }

    /** What arrives within 20 s; empty at the end of the connection. */
    [[nodiscard]] std::string receive() const {
        pollfd it{.fd = fd_, .events = POLLIN, .revents = 0};
        REQUIRE(::poll(&it, 1, 20000) == 1);
        std::array<char, 65536> buffer{};
        const auto n = ::recv(fd_, buffer.data(), buffer.size(), 0);
        return {buffer.data(), static_cast<std::size_t>(n > 0 ? n : 0)};
    }

    /** Waits until the other side has closed the connection. */
    void wait_closed() const {
        while (!receive().empty()) {
        }
    }

private:
    int fd_;
};

} // namespace berylcrank::testing
