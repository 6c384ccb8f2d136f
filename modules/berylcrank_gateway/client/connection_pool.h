#pragma once

#include "modules/berylcrank_gateway/client/client_connection.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

namespace berylcrank {

/** Pool of idle connections by key. Reuses the most recently used connection first.

    @see client_connection
*/
class connection_pool {
public:
    /** Idle timeout of a connection whose server states none. */
    static constexpr millis default_idle_timeout{4000};
    /** Maximum idle timeout of any connection. */
    static constexpr millis max_idle_timeout{30000};
    /** Subtracted from the idle timeout that the server states, so that a request does not arrive as the
        server closes. */
    static constexpr millis idle_margin{1500};

    connection_pool(boost::asio::io_context& io, const clock& time) : io_(io), time_(time) {}

    /** Returns an idle connection of `key`, or a new one to `address` ("IP:PORT"). Closes connections that
        have been idle for longer than `max_idle`. Throws std::invalid_argument if `address` is malformed. */
    client_connection_ptr acquire(const std::string& key, const std::string& address, millis max_idle);

    /** Returns a reusable connection to the pool. */
    void release(const std::string& key, client_connection_ptr it);

    /** Closes the idle connections of `key`. */
    void close_idle(const std::string& key);

    /** Closes the idle connections whose idle timeout has passed. */
    void expire();

    /** Number of connections opened so far. */
    [[nodiscard]] std::uint64_t opened() const { return opened_; }

private:
    [[nodiscard]] bool is_reusable(const client_connection& it, millis max_idle) const;

    boost::asio::io_context& io_;
    const clock& time_;
    absl::flat_hash_map<std::string, std::vector<client_connection_ptr>> idle_;
    std::uint64_t opened_{0};
};

} // namespace berylcrank
