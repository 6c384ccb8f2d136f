#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>

namespace berylcrank {

/** The load that an upstream reports in a response to a request or a probe. */
struct load_report {
    std::uint32_t in_flight{0}; ///< Running and queued requests from all nodes.
    std::uint32_t slots{0};     ///< Requests that it runs concurrently; 0: not reported.
    bool cold{false};
};

/** The state of one upstream as the node sees it when it chooses an upstream. @see upstream_policy */
struct candidate_view {
    std::uint32_t id{0};            ///< Unique within the service router; stable while the upstream exists.
    std::uint32_t in_flight{0};     ///< Requests of this node in flight.
    double limit{1};                ///< Concurrency limit of this node for the upstream.
    std::uint32_t slots{1};         ///< Configured number of concurrent requests.
    bool has_report{false};         ///< If false, the two report fields are not set.
    std::uint32_t reported_load{0}; ///< Requests in flight in the last load report.
    millis report_age;              ///< Time since that report arrived.
    double other_nodes_load{0};     ///< Estimated requests of other nodes; see upstream_stats.
    double slowness{1};   ///< Estimated latency, requests in flight included, divided by the service's mean.
    double error_rate{0}; ///< Recent share of failed attempts, in [0, 1].
};

} // namespace berylcrank
