#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_gateway/peers/node_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace berylcrank {

/** Datagrams between nodes.

    @see node_message
*/
class gossip_link {
public:
    using handler = std::function<void(const node_message&)>;

    /** Binds `ip`:`port`. Throws boost::system::system_error. `received` runs for each message that can be read. */
    gossip_link(boost::asio::io_context& io, const std::string& ip, std::uint16_t port, const clock& time,
                handler received);

    /** Sends bytes to a node; lost if the link is full. */
    void send(const std::string& bytes, const std::string& ip, std::uint16_t port);

    /** Datagrams that could not be read as messages. */
    [[nodiscard]] std::uint64_t unreadable() const { return unreadable_; }
    [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    void wait_for_message();
    void read_messages();

    boost::asio::ip::udp::socket socket_;
    const clock& time_;
    handler received_;
    std::uint64_t unreadable_{0};
    std::uint64_t bytes_sent_{0};
};

} // namespace berylcrank
