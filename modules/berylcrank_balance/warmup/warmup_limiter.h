#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>

namespace berylcrank {

/** Limits the rate of requests that this node sends to each cold upstream.

    One node, selected by rendezvous hashing over the live nodes, admits requests to a cold upstream; the
    other nodes send none. Its rate is below half of what the upstream tolerates. Two nodes with different
    views of the membership therefore stay within the limit together.
    @see peer_table
*/
class warmup_limiter {
public:
    /** Length of the sliding window: the one second over which the platform counts, plus the possible delay
        between sending and arrival. */
    static constexpr millis window{1150};

    /** Returns whether another request may be sent to the cold upstream `number` now. `max_per_second` is the
        limit of requests per second from all nodes. */
    [[nodiscard]] bool allows(std::uint32_t number, double max_per_second, instant now);

    /** Counts a request sent to an upstream. */
    void sent(std::uint32_t number, instant now) { sends_[number].push_back(now); }

    /** Removes the state of an upstream. */
    void forget(std::uint32_t number) { sends_.erase(number); }

private:
    absl::flat_hash_map<std::uint32_t, std::deque<instant>> sends_;
};

} // namespace berylcrank
