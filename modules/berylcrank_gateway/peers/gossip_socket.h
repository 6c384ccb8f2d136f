#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_gateway/peers/node_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <span>

namespace berylcrank {

/** UDP socket for the messages between nodes. Sends and receives batches with one system call. The owner
    polls it, so that the process does not wake up for each datagram.

    @see node_message
*/
class gossip_socket {
public:
    using handler = std::function<void(const node_message&)>;
    using endpoint = boost::asio::ip::udp::endpoint;

    /** Binds `ip`:`port`. Throws boost::system::system_error on failure. `received` runs for each valid
        message. */
    gossip_socket(boost::asio::io_context& io, const std::string& ip, std::uint16_t port, const clock& time,
                  handler received);

    /** Receives all pending datagrams. */
    void poll();

    /** Calls `ready` once when a datagram can be received, without waiting for the owner's next poll(). */
    void wait(std::function<void()> ready);

    /** Sends the same bytes to several nodes. Drops datagrams that the socket does not accept. */
    void send(const std::string& bytes, std::span<const endpoint> nodes);

    /** Returns the endpoint of a node. Throws boost::system::system_error if `ip` is malformed. */
    static endpoint address(const std::string& ip, std::uint16_t port);

    /** Number of datagrams that could not be decoded. */
    [[nodiscard]] std::uint64_t unreadable() const { return unreadable_; }

private:
    boost::asio::ip::udp::socket socket_;
    const clock& time_;
    handler received_;
    std::uint64_t unreadable_{0};
};

} // namespace berylcrank
