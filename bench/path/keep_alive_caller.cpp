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

constexpr std::size_t read_bytes = 262144;

} // namespace

keep_alive_caller::keep_alive_caller(const std::string& address)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), buf_(read_bytes, '\0') {
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
    it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(socket_, reinterpret_cast<const sockaddr*>(&it), sizeof(it)) != 0) {
        throw std::runtime_error("cannot connect to " + address);
    }
}

keep_alive_caller::~keep_alive_caller() {
    close(socket_);
}

double keep_alive_caller::get(const std::string& path, std::size_t bytes) {
    const auto request = "GET " + path + " HTTP/1.1\r\nHost: bench\r\nBerylcrank-Timeout-Ms: 5000\r\n\r\n";
    const auto start = std::chrono::steady_clock::now();
    if (send(socket_, request.data(), request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(request.size())) {
        throw std::runtime_error("cannot send");
    }
    std::size_t have = 0;
    std::size_t want = 0;
    while (want == 0 || have < want) {
        const auto offset = want == 0 ? have : 0; // The body is not looked at.
        const auto n = recv(socket_, buf_.data() + offset, buf_.size() - offset, 0);
        if (n <= 0) {
            throw std::runtime_error("connection ended within an answer");
        }
        have += static_cast<std::size_t>(n);
        const std::string_view head(buf_.data(), want == 0 ? have : 0);
        if (const auto end = head.find("\r\n\r\n"); want == 0 && end != std::string_view::npos) {
            want = end + 4 + bytes;
            if (!head.starts_with("HTTP/1.1 200") ||
                head.find("Content-Length: " + std::to_string(bytes)) == std::string_view::npos) {
                throw std::runtime_error("unexpected answer: " + std::string(head.substr(0, end)));
            }
        }
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
    return took.count();
}

} // namespace berylcrank::bench
