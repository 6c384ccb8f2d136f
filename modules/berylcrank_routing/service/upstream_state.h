#pragma once

#include "modules/berylcrank_routing/limits/adaptive_limit.h"
#include "modules/berylcrank_routing/outlier/outlier_detector.h"
#include "modules/berylcrank_routing/policy/upstream_stats.h"
#include "modules/berylcrank_routing/probe/probe_budget.h"
#include "modules/berylcrank_routing/service/routing_message.h"

namespace berylcrank {

/** State of one upstream in a service router. Guarded by the router's lock. */
struct upstream_state {
    std::uint32_t id{0};
    std::shared_ptr<const upstream_config> config;
    bool is_in_use{true};     ///< Not draining, not removed, and its failure domain is in use.
    bool is_removed{false};   ///< Not in the configuration or the subset; erased after its last release.
    bool is_exclusive{false}; ///< Held by a request with `needs_exclusive_upstream`.
    upstream_gate gate;
    instant permit_requested_at; ///< Time of the last grant with `needs_permit`.
    upstream_stats stats;
    adaptive_limit limit;
    outlier_detector outlier;
    probe_budget probes;

    /** The view passed to the policy. */
    [[nodiscard]] candidate_view view(const service_baseline& baseline, instant now) const {
        candidate_view result{.id = id, .limit = limit.limit(), .slots = config->slots};
        stats.fill(result, baseline, now);
        return result;
    }
};

} // namespace berylcrank
