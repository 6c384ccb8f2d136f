#include "modules/berylcrank_gateway/peers/gossip_socket.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <sys/socket.h>
#include <vector>

namespace berylcrank {

namespace {

constexpr std::size_t max_datagram = 9000; // bytes; senders limit their messages to less
constexpr std::size_t batch_size = 32;     // datagrams per system call

} // namespace

gossip_socket::gossip_socket(boost::asio::io_context& io, const std::string& ip, std::uint16_t port,
                             const clock& time, handler received)
    : socket_(io, address(ip, port)), time_(time), received_(std::move(received)) {
    socket_.non_blocking(true);
}

gossip_socket::endpoint gossip_socket::address(const std::string& ip, std::uint16_t port) {
    return {boost::asio::ip::make_address(ip), port};
}

void gossip_socket::poll() {
    // Static because one thread receives all datagrams.
    static std::array<std::array<char, max_datagram>, batch_size> buffers;
    std::array<iovec, batch_size> parts{};
    std::array<mmsghdr, batch_size> messages{};
    for (std::size_t i = 0; i < batch_size; ++i) {
        parts[i] = {.iov_base = buffers[i].data(), .iov_len = max_datagram};
        messages[i].msg_hdr.msg_iov = &parts[i];
        messages[i].msg_hdr.msg_iovlen = 1;
    }
    for (;;) {
        const int n = recvmmsg(socket_.native_handle(), messages.data(), batch_size, MSG_DONTWAIT, nullptr);
        if (n <= 0) {
            return; // no datagram, or an ICMP error for an earlier send to a closed port
        }
        const auto now = time_.now();
        for (std::size_t i = 0; i < static_cast<std::size_t>(n); ++i) {
            if (const auto it = decode_message({buffers[i].data(), messages[i].msg_len}, now)) {
                received_(*it);
            } else {
                ++unreadable_;
            }
        }
        if (static_cast<std::size_t>(n) < batch_size) {
            return;
        }
    }
}

void gossip_socket::wait(std::function<void()> ready) {
    socket_.async_wait(boost::asio::ip::udp::socket::wait_read, [ready = std::move(ready)](const auto& ec) {
        if (!ec) {
            ready();
        }
    });
}

void gossip_socket::send(const std::string& bytes, std::span<const endpoint> nodes) {
    iovec part{.iov_base = const_cast<char*>(bytes.data()), .iov_len = bytes.size()};
    std::vector<mmsghdr> messages(nodes.size());
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        auto& head = messages[i].msg_hdr;
        head.msg_name = const_cast<sockaddr*>(nodes[i].data());
        head.msg_namelen = static_cast<socklen_t>(nodes[i].size());
        head.msg_iov = &part;
        head.msg_iovlen = 1;
    }
    std::size_t sent = 0;
    while (sent < messages.size()) {
        const int n =
            sendmmsg(socket_.native_handle(), &messages[sent],
                     static_cast<unsigned>(std::min(batch_size, messages.size() - sent)), MSG_DONTWAIT);
        sent += n > 0 ? static_cast<std::size_t>(n) : 1; // drops the datagram that failed
    }
}

} // namespace berylcrank
