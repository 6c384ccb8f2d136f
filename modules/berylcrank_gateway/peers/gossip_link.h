#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_gateway/peers/node_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <span>

namespace berylcrank {

/** Datagrams between nodes. Sends and receives many with one system call; the owner polls, so that datagrams
   do not wake the process one by one.

    @see node_message
*/
class gossip_link {
public:
    using handler = std::function<void(const node_message&)>;
    using endpoint = boost::asio::ip::udp::endpoint;

    /** Binds `ip`:`port`. Throws boost::system::system_error. `received` runs for each message that can be
     * read. */
    gossip_link(boost::asio::io_context& io, const std::string& ip, std::uint16_t port, const clock& time,
                handler received);

    /** Hands over what has arrived. */
    void poll();

    /** Sends the same bytes to several nodes; lost where a link is full. */
    void send(const std::string& bytes, std::span<const endpoint> nodes);

    /** Address of a node; throws boost::system::system_error if `ip` is not one. */
    static endpoint address(const std::string& ip, std::uint16_t port);

    /** Datagrams that could not be read as messages. */
    [[nodiscard]] std::uint64_t unreadable() const { return unreadable_; }

private:
    boost::asio::ip::udp::socket socket_;
    const clock& time_;
    handler received_;
    std::uint64_t unreadable_{0};
};

} // namespace berylcrank
