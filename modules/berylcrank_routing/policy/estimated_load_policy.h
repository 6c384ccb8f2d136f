#pragma once

#include "modules/berylcrank_routing/policy/upstream_policy.h"

namespace berylcrank {

/** Chooses the upstream with the shortest expected response time.

    The expected time is the estimated load per slot after the dispatch, times the upstream's slowness,
    times a penalty for recent failures. The load is the sum of this node's requests in flight and the
    estimated load of the other nodes. Ties are broken at random, so that the nodes do not all choose the
    same upstream.
    @see upstream_stats
*/
class estimated_load_policy final : public upstream_policy {
public:
    std::size_t choose(std::span<const candidate_view> candidates, random_source& random) override;

    /** The expected response time as a multiple of the service's mean latency. */
    static double cost(const candidate_view& candidate);
};

} // namespace berylcrank
