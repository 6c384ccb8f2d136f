#include "tests/support/raw_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace berylcrank::testing {

namespace {

constexpr int timeout_ms = 10000;

bool wait_readable(int socket, int wait_ms) {
    pollfd polled{.fd = socket, .events = POLLIN, .revents = 0};
    return poll(&polled, 1, wait_ms) > 0;
}

sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

raw_connection::~raw_connection() {
    close();
}

raw_connection::raw_connection(raw_connection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)), buffer_(std::move(other.buffer_)) {}

raw_connection raw_connection::to(const std::string& address) {
    return with_receive_buffer(address, 0);
}

raw_connection raw_connection::with_receive_buffer(const std::string& address, int bytes) {
    const auto target = loopback(std::stoi(address.substr(address.rfind(':') + 1)));
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }
    if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        ::close(fd);
        throw std::runtime_error("cannot connect to " + address);
    }
    return raw_connection(fd);
}

bool raw_connection::send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool raw_connection::receive() {
    char buf[65536];
    if (!wait_readable(socket_, timeout_ms)) {
        throw std::runtime_error("no bytes from the peer before the timeout; received so far: " +
                                 buffer_.substr(0, 500));
    }
    const auto n = recv(socket_, buf, sizeof(buf), 0);
    if (n <= 0) {
        return false;
    }
    buffer_.append(buf, static_cast<std::size_t>(n));
    return true;
}

std::string raw_connection::read_until(const std::string& end) {
    for (;;) {
        if (const auto at = buffer_.find(end); at != std::string::npos) {
            auto text = buffer_.substr(0, at + end.size());
            buffer_.erase(0, text.size());
            return text;
        }
        if (!receive()) {
            throw std::runtime_error("stream ended before \"" + end +
                                     "\"; received so far: " + buffer_.substr(0, 500));
        }
    }
}

std::string raw_connection::read(std::size_t n) {
    while (buffer_.size() < n) {
        if (!receive()) {
            throw std::runtime_error("stream ended before the requested number of bytes");
        }
    }
    auto bytes = buffer_.substr(0, n);
    buffer_.erase(0, n);
    return bytes;
}

std::string raw_connection::read_message() {
    auto head = read_until("\r\n\r\n");
    const auto length = header_in(head, "Content-Length");
    return length.empty() ? head : head + read(std::stoul(length));
}

std::string raw_connection::read_all() {
    while (receive()) {
    }
    return std::exchange(buffer_, {});
}

bool raw_connection::wait_closed() {
    try {
        read_all();
        return true;
    } catch (const std::runtime_error&) {
        return false;
    }
}

void raw_connection::reset() {
    const linger option{.l_onoff = 1, .l_linger = 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    close();
}

void raw_connection::close() {
    if (socket_ >= 0) {
        ::close(std::exchange(socket_, -1));
    }
}

raw_listener::raw_listener() : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const auto any_port = loopback(0);
    if (bind(socket_, reinterpret_cast<const sockaddr*>(&any_port), sizeof(any_port)) != 0 ||
        listen(socket_, 64) != 0) {
        throw std::runtime_error("cannot listen on loopback");
    }
}

raw_listener::~raw_listener() {
    ::close(socket_);
}

std::string raw_listener::address() const {
    sockaddr_in bound{};
    socklen_t length = sizeof(bound);
    getsockname(socket_, reinterpret_cast<sockaddr*>(&bound), &length);
    return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
}

raw_connection raw_listener::accept(int wait_ms) const {
    if (!wait_readable(socket_, wait_ms)) {
        throw std::runtime_error("no connection before the timeout");
    }
    return raw_connection(accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC));
}

bool raw_listener::receives_no_connection(int wait_ms) const {
    return !wait_readable(socket_, wait_ms);
}

std::string header_in(const std::string& message, const std::string& name) {
    std::size_t at = message.find("\r\n");
    while (at != std::string::npos && message.compare(at, 4, "\r\n\r\n") != 0) {
        const auto start = at + 2;
        at = message.find("\r\n", start);
        const auto line = message.substr(start, at - start);
        if (line.size() > name.size() && line[name.size()] == ':' &&
            strncasecmp(line.c_str(), name.c_str(), name.size()) == 0) {
            const auto value = line.find_first_not_of(' ', name.size() + 1);
            return value == std::string::npos ? "" : line.substr(value);
        }
    }
    return {};
}

} // namespace berylcrank::testing
