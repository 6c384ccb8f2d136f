#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>

namespace berylcrank {

/** What an upstream said of its own load in a response. */
struct load_snapshot {
    int running{0};
    int waiting{0};
    int slots{0};
    double slowness{1}; ///< How long work takes at this moment; 1 is as usual.
    instant at;         ///< When it was received, on this node's clock.
};

/** Requests that one node has in flight at one upstream. */
struct in_flight_count {
    std::uint32_t upstream{0};
    int count{0};
};

/** Results of requests at one upstream since the last message. */
struct outcome_count {
    double good{0};
    double bad{0};
};

} // namespace berylcrank
