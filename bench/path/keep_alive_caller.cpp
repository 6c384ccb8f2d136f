#include "bench/path/keep_alive_caller.h"

#include <arpa/inet.h>
#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace berylcrank::bench {

namespace {

constexpr std::size_t receive_buffer_bytes = 262144;

} // namespace

keep_alive_caller::keep_alive_caller(const std::string& address)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), buffer_(receive_buffer_bytes, '\0') {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int enabled = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    if (connect(socket_, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        throw std::runtime_error("cannot connect to " + address);
    }
}

keep_alive_caller::~keep_alive_caller() {
    close(socket_);
}

double keep_alive_caller::get(const std::string& path, std::size_t body_bytes) {
    const auto request = "GET " + path + " HTTP/1.1\r\nHost: bench\r\nBerylcrank-Timeout-Ms: 5000\r\n\r\n";
    const auto start = std::chrono::steady_clock::now();
    if (send(socket_, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size())) {
        throw std::runtime_error("cannot send the request");
    }
    std::size_t received = 0;
    std::size_t expected = 0;
    while (expected == 0 || received < expected) {
        const auto offset = expected == 0 ? received : 0; // The body is not checked and may be overwritten.
        const auto n = recv(socket_, buffer_.data() + offset, buffer_.size() - offset, 0);
        if (n <= 0) {
            throw std::runtime_error("connection closed before the end of the response");
        }
        received += static_cast<std::size_t>(n);
        const std::string_view head(buffer_.data(), expected == 0 ? received : 0);
        if (const auto end = head.find("\r\n\r\n"); expected == 0 && end != std::string_view::npos) {
            expected = end + 4 + body_bytes;
            if (!head.starts_with("HTTP/1.1 200") ||
                head.find("Content-Length: " + std::to_string(body_bytes)) == std::string_view::npos) {
                throw std::runtime_error("unexpected response: " + std::string(head.substr(0, end)));
            }
        }
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count();
}

} // namespace berylcrank::bench
