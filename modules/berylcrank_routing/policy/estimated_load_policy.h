#pragma once

#include "modules/berylcrank_routing/policy/upstream_policy.h"

namespace berylcrank {

/** The upstream with the least expected time to an answer.

    The expected time is the estimated load after the dispatch (own requests in flight, plus the aged estimate
    of the others'), per slot, times the upstream's slowness, times a penalty for recent failures. Ties are
    broken at random, so that nodes do not herd.
    @see upstream_stats
*/
class estimated_load_policy final : public upstream_policy {
public:
    std::size_t choose(std::span<const candidate_view> among, random_source& random) override;

    /** The expected time in units of the service's latency; lower is better. */
    static double cost(const candidate_view& it);
};

} // namespace berylcrank
