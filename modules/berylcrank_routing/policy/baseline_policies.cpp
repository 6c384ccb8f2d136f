#include "modules/berylcrank_routing/policy/baseline_policies.h"

#include "modules/berylcrank_routing/policy/estimated_load_policy.h"

namespace berylcrank {

std::size_t random_policy::choose(std::span<const candidate_view> candidates, random_source& random) {
    return random.below(candidates.size());
}

std::size_t round_robin_policy::choose(std::span<const candidate_view> candidates,
                                       random_source& /*random*/) {
    std::size_t next = 0; // lowest id above last_, or the lowest id if there is none
    for (std::size_t n = 1; n < candidates.size(); ++n) {
        const bool is_above = candidates[n].id > last_;
        const bool best_is_above = candidates[next].id > last_;
        if (is_above != best_is_above ? is_above : candidates[n].id < candidates[next].id) {
            next = n;
        }
    }
    last_ = candidates[next].id;
    return next;
}

std::size_t least_in_flight_policy::choose(std::span<const candidate_view> candidates,
                                           random_source& random) {
    std::size_t best = 0;
    std::uint64_t ties = 1;
    for (std::size_t n = 1; n < candidates.size(); ++n) {
        if (candidates[n].in_flight < candidates[best].in_flight) {
            best = n;
            ties = 1;
        } else if (candidates[n].in_flight == candidates[best].in_flight && random.below(++ties) == 0) {
            best = n;
        }
    }
    return best;
}

std::size_t power_of_two_policy::choose(std::span<const candidate_view> candidates, random_source& random) {
    if (candidates.size() == 1) {
        return 0;
    }
    const auto a = random.below(candidates.size());
    auto b = random.below(candidates.size() - 1);
    b += b >= a ? 1 : 0;
    const auto load = [&](const candidate_view& candidate) {
        return uses_reports_ ? candidate.reported_load : candidate.in_flight;
    };
    return load(candidates[b]) < load(candidates[a]) ? b : a;
}

std::string_view to_string(policy_kind kind) {
    switch (kind) {
    case policy_kind::estimated_load:
        return "estimated load";
    case policy_kind::random:
        return "random";
    case policy_kind::round_robin:
        return "round robin";
    case policy_kind::least_in_flight:
        return "least in flight";
    case policy_kind::power_of_two:
        return "power of two";
    case policy_kind::power_of_two_reported:
        return "power of two, reported";
    }
    return "";
}

std::unique_ptr<upstream_policy> make_policy(policy_kind kind) {
    switch (kind) {
    case policy_kind::random:
        return std::make_unique<random_policy>();
    case policy_kind::round_robin:
        return std::make_unique<round_robin_policy>();
    case policy_kind::least_in_flight:
        return std::make_unique<least_in_flight_policy>();
    case policy_kind::power_of_two:
        return std::make_unique<power_of_two_policy>(false);
    case policy_kind::power_of_two_reported:
        return std::make_unique<power_of_two_policy>(true);
    case policy_kind::estimated_load:
        break;
    }
    return std::make_unique<estimated_load_policy>();
}

} // namespace berylcrank
