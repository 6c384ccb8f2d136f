#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <deque>

namespace berylcrank {

/** Limits the requests that this node sends to each cold upstream.

    One node, chosen by rendezvous hashing over the live nodes, admits requests to a cold upstream; the others
   send none. Its rate is under half of what the upstream bears, so that two nodes which disagree on the
   membership stay within the bound together.
    @see peer_table
*/
class warmup_limiter {
public:
    /** Span in which requests are counted: the platform's second, and what may lie between send and arrival.
     */
    static constexpr millis span{1150};

    /** Whether another request may go to the cold upstream `number` now; `most` is the bound on the requests
       a second of all nodes. */
    [[nodiscard]] bool allows(std::uint32_t number, double most, instant now);

    /** Counts a request that was sent there. */
    void sent(std::uint32_t number, instant now) { sends_[number].push_back(now); }

    /** Forgets an upstream. */
    void forget(std::uint32_t number) { sends_.erase(number); }

private:
    absl::flat_hash_map<std::uint32_t, std::deque<instant>> sends_;
};

} // namespace berylcrank
