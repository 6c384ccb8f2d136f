#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <algorithm>
#include <cmath>

namespace berylcrank {

/** Limits the requests that a node sends just after it becomes ready, before it has received the in-flight
    counts of the other nodes.

    After a power loss of all nodes, all callers come back at once to nodes that each assume idle upstreams.
    Without this limit, the nodes together overload the upstreams.
*/
class startup_limiter {
public:
    /** Time for which the limit applies. Load messages arrive every 50 ms. */
    static constexpr millis duration{400};

    /** Starts the limit; called when the node becomes ready. */
    void begin(instant now) { until_ = now + duration; }

    /** Returns whether the node may send another request to a service.

        @param own    requests that the node has in flight at the service
        @param slots  usable slots of all upstreams of the service
        @param nodes  number of nodes that share these slots
        @param now    current time
    */
    [[nodiscard]] bool allows(int own, double slots, std::size_t nodes, instant now) const {
        const double share = std::ceil(slots / static_cast<double>(std::max<std::size_t>(1, nodes)));
        return now >= until_ || own < std::max(1.0, share);
    }

private:
    instant until_;
};

} // namespace berylcrank
