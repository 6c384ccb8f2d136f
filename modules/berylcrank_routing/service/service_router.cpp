#include "modules/berylcrank_routing/service/service_router.h"

#include "modules/berylcrank_routing/policy/subset.h"

#include "absl/container/flat_hash_set.h"

#include <algorithm>

namespace berylcrank {

namespace {

// A node alone may use all slots of an upstream and a queue as long again, so that it can find the limit
// itself.
constexpr double most_per_slot = 2.0;
// The service's limit never goes below this multiple of the node's fair share of the slots: with fewer nodes
// than the plausible most, all slots can still be used. A lower limit collapsed the throughput when latency
// rose for another reason than load (19 % refused with stale reports).
constexpr double least_share = 1.5;
constexpr double burst_of_retries = 3; // lets a quiet service retry at all

} // namespace

std::string_view to_string(refusal_reason it) {
    switch (it) {
    case refusal_reason::no_upstream:
        return "no upstream in use";
    case refusal_reason::queue_full:
        return "queue full";
    case refusal_reason::deadline:
        return "deadline cannot be met";
    case refusal_reason::budget_exhausted:
        return "retry budget exhausted";
    case refusal_reason::stopped:
        return "service stopped";
    }
    return "";
}

service_router::service_router(const service_config& service, const options& it)
    : options_(it), service_(service), random_(it.seed), policy_(make_policy(it.policy)),
      total_limit_(limit_options(1)), queue_({.limit = service.queue_limit}),
      retries_({.percent = service.retry_budget_percent, .burst = burst_of_retries}),
      hedges_({.percent = service.hedge_budget_percent, .burst = burst_of_retries}) {}

service_router::~service_router() {
    for (auto& [number, it] : waiting_) {
        it.done(route_refusal{.reason = refusal_reason::stopped, .is_retry_useful = true});
    }
}

adaptive_limit::options service_router::limit_options(double slots) {
    return {.initial = slots * most_per_slot, .most = slots * most_per_slot};
}

std::unique_ptr<upstream_state> service_router::make_state(const upstream_config& it, instant now) {
    return std::make_unique<upstream_state>(
        upstream_state{.id = next_id_++,
                       .config = std::make_shared<upstream_config>(it),
                       .stats = upstream_stats{options_.stats},
                       .limit = adaptive_limit{limit_options(it.slots)},
                       .outlier = outlier_detector{options_.outlier},
                       .probes = probe_budget{{.percent = service_.probe_budget_percent,
                                               .max_nodes = options_.max_nodes,
                                               .cost = options_.probe_cost},
                                              random_,
                                              now}});
}

void service_router::run(calls& it) {
    for (auto& [done, result] : it) {
        done(result);
    }
}

const upstream_state* service_router::find(std::string_view upstream) const {
    const auto at = by_name_.find(absl::string_view{upstream.data(), upstream.size()});
    return at == by_name_.end() ? nullptr : states_.at(at->second).get();
}

upstream_state* service_router::find(std::string_view upstream) {
    const auto at = by_name_.find(absl::string_view{upstream.data(), upstream.size()});
    return at == by_name_.end() ? nullptr : states_.at(at->second).get();
}

void service_router::forget(std::uint32_t id) {
    const auto at = states_.find(id);
    if (at != states_.end()) {
        by_name_.erase(at->second->config->name);
        states_.erase(at);
    }
}

upstream_state& service_router::take_in(const routed_upstream& it, instant now) {
    auto* state = find(it.config.name);
    if (state == nullptr) {
        auto made = make_state(it.config, now);
        state = made.get();
        by_name_[it.config.name] = made->id;
        states_[made->id] = std::move(made);
    } else {
        if (state->config->slots != it.config.slots) {
            state->limit = adaptive_limit{limit_options(it.config.slots)};
        }
        state->config = std::make_shared<upstream_config>(it.config);
    }
    state->probes.set_percent(service_.probe_budget_percent, now);
    state->is_removed = false;
    state->is_in_use = it.is_domain_in_use && !it.config.draining;
    return *state;
}

void service_router::take_service(const service_config& it) {
    service_ = it;
    retries_.set_percent(it.retry_budget_percent);
    hedges_.set_percent(it.hedge_budget_percent);
    auto weights = admission_queue::options{}.weights;
    weights[static_cast<std::size_t>(it.request_class)] *= it.weight;
    queue_.set_options({.limit = it.queue_limit, .weights = weights});
}

void service_router::drop_all_but(const absl::flat_hash_set<std::uint32_t>& kept) {
    std::vector<std::uint32_t> gone;
    for (auto& [id, state] : states_) {
        if (!kept.contains(id)) {
            state->is_in_use = false;
            state->is_removed = true;
            if (state->stats.in_flight() == 0) {
                gone.push_back(id);
            }
        }
    }
    for (const auto id : gone) {
        forget(id);
    }
}

void service_router::update(const service_config& service, std::span<const routed_upstream> upstreams,
                            instant now) {
    std::vector<subset_member> members;
    members.reserve(upstreams.size());
    for (const auto& it : upstreams) {
        members.push_back({.upstream = it.config.name, .failure_domain = it.config.failure_domain});
    }
    const auto chosen = choose_subset(members, options_.node, options_.subset_size);
    calls out;
    {
        const lock_guard lock(mutex_);
        take_service(service);
        absl::flat_hash_set<std::uint32_t> kept;
        double slots = 0;
        usable_.clear();
        for (const auto n : chosen) {
            auto& state = take_in(upstreams[n], now);
            kept.insert(state.id);
            if (state.is_in_use) {
                usable_.push_back(&state);
                slots += state.config->slots;
            }
        }
        total_limit_.set_bounds(slots * least_share / std::max(1U, options_.max_nodes),
                                slots * most_per_slot);
        drop_all_but(kept);
        serve_queue(now, out);
    }
    run(out);
}

} // namespace berylcrank
