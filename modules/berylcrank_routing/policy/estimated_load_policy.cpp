#include "modules/berylcrank_routing/policy/estimated_load_policy.h"

#include <algorithm>

namespace berylcrank {

namespace {

// A failing upstream responds fast and seems idle, so errors raise its cost. An error rate of 10 %
// doubles it.
constexpr double error_penalty = 10.0;

} // namespace

double estimated_load_policy::cost(const candidate_view& candidate) {
    const double load = candidate.in_flight + candidate.other_nodes_load + 1.0;
    const double slowness = std::max(1.0, candidate.slowness);
    return load / std::max(1U, candidate.slots) * slowness * (1.0 + error_penalty * candidate.error_rate);
}

std::size_t estimated_load_policy::choose(std::span<const candidate_view> candidates, random_source& random) {
    std::size_t best = 0;
    double best_cost = cost(candidates[0]);
    std::uint64_t ties = 1;
    for (std::size_t n = 1; n < candidates.size(); ++n) {
        const double next_cost = cost(candidates[n]);
        if (next_cost < best_cost) {
            best = n;
            best_cost = next_cost;
            ties = 1;
        } else if (next_cost == best_cost && random.below(++ties) == 0) {
            best = n;
        }
    }
    return best;
}

} // namespace berylcrank
