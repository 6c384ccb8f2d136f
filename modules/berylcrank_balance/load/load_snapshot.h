#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>

namespace berylcrank {

/** Load that an upstream reported about itself in a response. */
struct load_snapshot {
    int running{0};                         ///< Requests that run.
    int waiting{0};                         ///< Requests in the upstream's own queue.
    int slots{0};                           ///< Requests that can run at once.
    double slowness{1};                     ///< Current processing time relative to normal.
    instant at;                             ///< Time of receipt on this node's clock.
    instant connected_at{instant::never()}; ///< Start of the connection that carried it; never if unknown.
};

/** Number of requests that one node has in flight at one upstream. */
struct in_flight_count {
    std::uint32_t upstream{0};
    int count{0};
};

/** Numbers of successful and failed requests at one upstream, possibly weighted. */
struct outcome_count {
    double good{0};
    double bad{0};
};

} // namespace berylcrank
