#include "modules/berylcrank_gateway/peers/gossip_link.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

namespace berylcrank {

namespace {

constexpr std::size_t max_datagram = 65536;

} // namespace

gossip_link::gossip_link(boost::asio::io_context& io, const std::string& ip, std::uint16_t port, const clock& time,
                         handler received)
    : socket_(io, boost::asio::ip::udp::endpoint{boost::asio::ip::make_address(ip), port}), time_(time),
      received_(std::move(received)) {
    socket_.non_blocking(true);
    wait_for_message();
}

void gossip_link::wait_for_message() {
    socket_.async_wait(boost::asio::ip::udp::socket::wait_read, [this](const auto& ec) {
        if (ec == boost::asio::error::operation_aborted) {
            return;
        }
        read_messages();
        wait_for_message();
    });
}

void gossip_link::read_messages() {
    static std::array<char, max_datagram> buf; // one thread reads all datagrams
    for (;;) {
        boost::system::error_code ec;
        boost::asio::ip::udp::endpoint sender;
        const auto n = socket_.receive_from(boost::asio::buffer(buf), sender, 0, ec);
        if (ec == boost::asio::error::connection_refused) {
            continue; // an earlier datagram reached a port without a listener
        }
        if (ec) {
            return;
        }
        if (const auto it = decode_message({buf.data(), n}, time_.now())) {
            received_(*it);
        } else {
            ++unreadable_;
        }
    }
}

void gossip_link::send(const std::string& bytes, const std::string& ip, std::uint16_t port) {
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(ip, ec);
    if (ec) {
        return; // addresses were checked when they were learnt
    }
    socket_.send_to(boost::asio::buffer(bytes), {address, port}, 0, ec);
    bytes_sent_ += bytes.size();
}

} // namespace berylcrank
