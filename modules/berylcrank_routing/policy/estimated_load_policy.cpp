#include "modules/berylcrank_routing/policy/estimated_load_policy.h"

#include <algorithm>

namespace berylcrank {

namespace {

// A failing upstream answers fast and looks free: at an error rate of 10 % its cost doubles.
constexpr double error_penalty = 10.0;

} // namespace

double estimated_load_policy::cost(const candidate_view& it) {
    const double load = it.in_flight + it.others_load + 1.0;
    const double slowness = std::max(1.0, it.slowness);
    return load / std::max(1U, it.slots) * slowness * (1.0 + error_penalty * it.error_rate);
}

std::size_t estimated_load_policy::choose(std::span<const candidate_view> among, random_source& random) {
    std::size_t best = 0;
    double best_cost = cost(among[0]);
    std::uint64_t ties = 1;
    for (std::size_t n = 1; n < among.size(); ++n) {
        const double it = cost(among[n]);
        if (it < best_cost) {
            best = n;
            best_cost = it;
            ties = 1;
        } else if (it == best_cost && random.below(++ties) == 0) {
            best = n;
        }
    }
    return best;
}

} // namespace berylcrank
