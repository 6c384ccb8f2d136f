#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <algorithm>
#include <cmath>

namespace berylcrank {

/** Limits what a node that has just become ready sends before it knows what the other nodes send.

    Answers the load after all nodes lost power: the callers come back together to nodes that each believe
   that the upstreams are idle.
*/
class startup_limiter {
public:
    /** Time for which the limit holds; messages with loads come each 50 ms. */
    static constexpr millis duration{400};

    /** The node has become ready. */
    void begin(instant now) { until_ = now + duration; }

    /** Whether a node with `own` requests in flight at a service may send another. `slots` are those of the
       service that may be filled, `nodes` the nodes that share them. */
    [[nodiscard]] bool allows(int own, double slots, std::size_t nodes, instant now) const {
        const double share = std::ceil(slots / static_cast<double>(std::max<std::size_t>(1, nodes)));
        return now >= until_ || own < std::max(1.0, share);
    }

private:
    instant until_;
};

} // namespace berylcrank
