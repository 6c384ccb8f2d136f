#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <absl/container/flat_hash_set.h>
#include <cstddef>

namespace berylcrank {

class server_connection;

/** Limits the open connections of callers, each of which takes a descriptor, over all listeners of a node.
    Not thread-safe.

    When the limit is reached, a new connection is accepted only if an open one can be closed: the one that
   has been idle for the longest time, or else the one whose input has stalled for the longest time.

    @see server_connection, http_listener
*/
class connection_limit {
public:
    /** Limits in connections. */
    struct options {
        std::size_t limit{0};   ///< Of all listeners; 0 for no limit.
        std::size_t reserve{0}; ///< Part of `limit` that only listeners with `uses_reserve` may use.
        /** Minimum time without a request after which a connection counts as idle. The first request of one
            that was just accepted may be on its way. */
        millis idle_time{250};
        millis stall_time{
            500}; ///< Well above the gaps between the packets of a request on a working network.
    };

    /** Descriptors that are left to files. */
    static constexpr std::size_t file_descriptors = 200;
    /** Minimum number of connections of callers, however few descriptors there are. */
    static constexpr std::size_t min_connections = 32;

    /** Returns the limits for a process that may have `max_descriptors` open; 0 for no limit. Callers get
       half of what is left by files. The other half is for connections to upstreams, nodes and the store: a
       request of a caller is sent to one upstream, and to a second one as a hedge or retry. */
    static options options_for(std::size_t max_descriptors);

    explicit connection_limit(options limits) : options_(limits) {}

    /** Returns whether a further connection fits. Closes another one for it if necessary. */
    bool make_room(bool uses_reserve, instant now);

    void add(server_connection& it) { open_.insert(&it); }
    void remove(server_connection& it) { open_.erase(&it); }

    /** Number of open connections. */
    [[nodiscard]] std::size_t used() const { return open_.size(); }
    /** Number of times that a new connection had to wait, because no other one could be closed. */
    [[nodiscard]] std::size_t waits() const { return waits_; }
    /** Number of idle connections that were closed for others. */
    [[nodiscard]] std::size_t closed_idle() const { return closed_idle_; }
    /** Number of connections with stalled input that were closed for others. */
    [[nodiscard]] std::size_t closed_stalled() const { return closed_stalled_; }

private:
    bool close_one(instant now);

    options options_;
    absl::flat_hash_set<server_connection*> open_;
    std::size_t waits_{0};
    std::size_t closed_idle_{0};
    std::size_t closed_stalled_{0};
};

} // namespace berylcrank
