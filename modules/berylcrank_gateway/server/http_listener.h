#pragma once

#include "modules/berylcrank_gateway/server/server_connection.h"

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

namespace berylcrank {

/** Accepts connections at one address and hands their requests to a handler.

    @see request_handler
*/
class http_listener {
public:
    /** Listens at `address` ("IP:PORT"). Throws boost::system::system_error if the address cannot be taken.
     */
    http_listener(boost::asio::io_context& io, const std::string& address, listener_context context);

    /** Closes connections that are idle or slow; `close_idle` closes all that wait for a request. */
    void check_time(instant now, bool close_idle);

    /** Takes no new connection from now on. */
    void stop_accepting();

    /** Requests without a complete response. */
    [[nodiscard]] std::size_t active() const;
    /** Open connections. */
    [[nodiscard]] std::size_t connections() const;
    /** Port that is listened at. */
    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    void accept_next();

    listener_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<server_connection>> connections_;
};

/** Reads "IP:PORT". Throws std::invalid_argument. */
boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

} // namespace berylcrank
