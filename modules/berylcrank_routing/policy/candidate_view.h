#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>

namespace berylcrank {

/** The load that an upstream reports about itself, on an answer or to a probe. */
struct load_report {
    std::uint32_t in_flight{0}; ///< Requests that it runs or queues, from all nodes.
    std::uint32_t slots{0};     ///< Requests that it runs at once; 0: not stated.
    bool cold{false};
};

/** What a node knows about one upstream at the time of a choice. @see upstream_policy */
struct candidate_view {
    std::uint32_t id{0};        ///< Number of the upstream within its service router; stable while it exists.
    std::uint32_t in_flight{0}; ///< Requests of this node.
    double limit{1};            ///< Concurrency limit of this node.
    std::uint32_t slots{1};     ///< Requests that it runs at once, by configuration.
    bool has_report{false};     ///< False: the two report fields are void.
    std::uint32_t reported{0};  ///< Last reported load.
    millis report_age;          ///< Time since the report arrived.
    double others_load{0};      ///< Load of the other nodes: estimate from reports, aged; see upstream_stats.
    double slowness{1};         ///< Estimated latency divided by the service's; includes requests in flight.
    double error_rate{0};       ///< Recent share of failures, in [0, 1].
};

} // namespace berylcrank
