#pragma once

#include "modules/berylcrank_gateway/client/client_connection.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

namespace berylcrank {

/** Idle connections to upstreams and other servers, by key. The one used last is used next.

    @see client_connection
*/
class connection_pool {
public:
    /** Longest time for which an idle connection is kept if the other side names no time of its own. */
    static constexpr millis usual_idle{4000};
    /** Longest time for which any idle connection is kept. */
    static constexpr millis longest_idle{30000};
    /** Taken off the time that the other side names, for requests that cross its close. */
    static constexpr millis idle_margin{1500};

    connection_pool(boost::asio::io_context& io, const clock& time) : io_(io), time_(time) {}

    /** An idle connection of `key`, or a new one to `address` ("IP:PORT"). Idle connections older than
       `max_idle` are passed over. */
    client_connection_ptr take(const std::string& key, const std::string& address, millis max_idle);

    /** Gives a reusable connection back. */
    void give(const std::string& key, client_connection_ptr it);

    /** Closes the idle connections of `key`. */
    void forget(const std::string& key);

    /** Closes idle connections that are too old. */
    void expire();

    /** Connections opened so far. */
    [[nodiscard]] std::uint64_t opened() const { return opened_; }

private:
    [[nodiscard]] bool fresh(const client_connection& it, millis max_idle) const;

    boost::asio::io_context& io_;
    const clock& time_;
    absl::flat_hash_map<std::string, std::vector<client_connection_ptr>> idle_;
    std::uint64_t opened_{0};
};

} // namespace berylcrank
