#pragma once

#include "modules/berylcrank_routing/limits/adaptive_limit.h"
#include "modules/berylcrank_routing/outlier/outlier_detector.h"
#include "modules/berylcrank_routing/policy/upstream_stats.h"
#include "modules/berylcrank_routing/probe/probe_budget.h"
#include "modules/berylcrank_routing/service/routing_message.h"

namespace berylcrank {

/** Everything that a service router knows about one upstream. Guarded by the router's lock. */
struct upstream_state {
    std::uint32_t id{0};
    std::shared_ptr<const upstream_config> config;
    bool is_in_use{true}; ///< Not draining, its failure domain in use, not removed.
    bool is_removed{
        false}; ///< No longer in the configuration or the subset; forgotten after its last release.
    bool is_exclusive{false}; ///< Held by a request that must run alone.
    upstream_gate gate;
    instant asked_at; ///< When it was last given to a request that has to ask for a permit.
    upstream_stats stats;
    adaptive_limit limit;
    outlier_detector outlier;
    probe_budget probes;

    /** What the policy sees. */
    [[nodiscard]] candidate_view view(const service_baseline& base, instant now) const {
        candidate_view it{.id = id, .limit = limit.limit(), .slots = config->slots};
        stats.fill(it, base, now);
        return it;
    }
};

} // namespace berylcrank
