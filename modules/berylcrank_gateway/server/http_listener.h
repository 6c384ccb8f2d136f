#pragma once

#include "modules/berylcrank_gateway/server/server_connection.h"

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

namespace berylcrank {

/** Accepts connections at one address and passes their requests to a handler. Connections for which the
    connection_limit has no room stay in the queue of the kernel.

    @see request_handler
*/
class http_listener {
public:
    /** Listens at `address` ("IP:PORT"). Throws std::invalid_argument if the address is malformed and
        boost::system::system_error if it cannot be bound. */
    http_listener(boost::asio::io_context& io, const std::string& address, listener_context context);

    /** Closes connections that exceed a timeout of ingress_limits. With `close_idle`, closes all idle
        connections. */
    void check_timeouts(instant now, bool close_idle);

    /** Accepts connections that had to wait for room. Call this periodically. */
    void retry_accept();

    /** Accepts the connections that are already established and then no more. Open connections stay open. */
    void stop_accepting();

    /** Number of requests without a complete response. */
    [[nodiscard]] std::size_t active() const;
    /** Number of open connections. */
    [[nodiscard]] std::size_t connections() const;
    /** Port on which the listener accepts connections. */
    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    void wait_for_connection();
    bool accept_one();
    void add_connection(boost::asio::ip::tcp::socket socket);

    listener_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<server_connection>> connections_; // those closed since the last check as well
    bool accept_waits_{false};                                    // for room or for a descriptor
};

/** Parses "IP:PORT". Throws std::invalid_argument if the text is malformed. */
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

} // namespace berylcrank
