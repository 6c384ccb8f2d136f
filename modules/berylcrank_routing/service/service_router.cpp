#include "modules/berylcrank_routing/service/service_router.h"

#include "modules/berylcrank_routing/policy/subset.h"

#include "absl/container/flat_hash_set.h"

#include <algorithm>

namespace berylcrank {

namespace {

// A single node may fill all slots of an upstream and queue the same number of requests there, so that the
// adaptive limit can find the actual capacity.
constexpr double max_limit_per_slot = 2.0;
// Lower bound of the service's limit, as a multiple of the node's equal share of the slots. With fewer nodes
// than `max_nodes`, all slots can still be used. With a lower bound, throughput collapsed when latency rose
// for other reasons than load: 19 % of the requests were refused with stale reports.
constexpr double min_limit_share = 1.5;
constexpr double retry_burst = 3; // allows retries in a service with few requests

} // namespace

std::string_view to_string(refusal_reason reason) {
    switch (reason) {
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

service_router::service_router(const service_config& service, const options& opts)
    : options_(opts), service_(service), random_(opts.seed), policy_(make_policy(opts.policy)),
      total_limit_(limit_options(1)), queue_({.limit = service.queue_limit}),
      retries_({.percent = service.retry_budget_percent, .burst = retry_burst}),
      hedges_({.percent = service.hedge_budget_percent, .burst = retry_burst}) {}

service_router::~service_router() {
    for (auto& [number, request] : waiting_) {
        request.done(route_refusal{.reason = refusal_reason::stopped, .is_retry_useful = true});
    }
}

adaptive_limit::options service_router::limit_options(double slots) {
    return {.initial = slots * max_limit_per_slot, .max = slots * max_limit_per_slot};
}

std::unique_ptr<upstream_state> service_router::make_state(const upstream_config& config, instant now) {
    return std::make_unique<upstream_state>(
        upstream_state{.id = next_id_++,
                       .config = std::make_shared<upstream_config>(config),
                       .stats = upstream_stats{options_.stats},
                       .limit = adaptive_limit{limit_options(config.slots)},
                       .outlier = outlier_detector{options_.outlier},
                       .probes = probe_budget{{.percent = service_.probe_budget_percent,
                                               .max_nodes = options_.max_nodes,
                                               .cost = options_.probe_cost},
                                              random_,
                                              now}});
}

void service_router::run_callbacks(callback_list& callbacks) {
    for (auto& [done, result] : callbacks) {
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

void service_router::erase_upstream(std::uint32_t id) {
    const auto at = states_.find(id);
    if (at != states_.end()) {
        by_name_.erase(at->second->config->name);
        states_.erase(at);
    }
}

upstream_state& service_router::update_upstream(const routed_upstream& upstream, instant now) {
    auto* state = find(upstream.config.name);
    if (state == nullptr) {
        auto made = make_state(upstream.config, now);
        state = made.get();
        by_name_[upstream.config.name] = made->id;
        states_[made->id] = std::move(made);
    } else {
        if (state->config->slots != upstream.config.slots) {
            state->limit = adaptive_limit{limit_options(upstream.config.slots)};
        }
        state->config = std::make_shared<upstream_config>(upstream.config);
    }
    state->probes.set_percent(service_.probe_budget_percent, now);
    state->is_removed = false;
    state->is_in_use = upstream.is_domain_in_use && !upstream.config.draining;
    return *state;
}

void service_router::update_service(const service_config& service) {
    service_ = service;
    retries_.set_percent(service.retry_budget_percent);
    hedges_.set_percent(service.hedge_budget_percent);
    auto weights = admission_queue::options{}.weights;
    weights[static_cast<std::size_t>(service.request_class)] *= service.weight;
    queue_.set_options({.limit = service.queue_limit, .weights = weights});
}

void service_router::remove_all_except(const absl::flat_hash_set<std::uint32_t>& kept) {
    std::vector<std::uint32_t> unused;
    for (auto& [id, state] : states_) {
        if (!kept.contains(id)) {
            state->is_in_use = false;
            state->is_removed = true;
            if (state->stats.in_flight() == 0) {
                unused.push_back(id);
            }
        }
    }
    for (const auto id : unused) {
        erase_upstream(id);
    }
}

void service_router::update(const service_config& service, std::span<const routed_upstream> upstreams,
                            instant now) {
    std::vector<subset_member> members;
    members.reserve(upstreams.size());
    for (const auto& upstream : upstreams) {
        members.push_back(
            {.upstream = upstream.config.name, .failure_domain = upstream.config.failure_domain});
    }
    const auto chosen = choose_subset(members, options_.node, options_.subset_size);
    callback_list out;
    {
        const lock_guard lock(mutex_);
        update_service(service);
        absl::flat_hash_set<std::uint32_t> kept;
        double slots = 0;
        usable_.clear();
        for (const auto n : chosen) {
            auto& state = update_upstream(upstreams[n], now);
            kept.insert(state.id);
            if (state.is_in_use) {
                usable_.push_back(&state);
                slots += state.config->slots;
            }
        }
        total_limit_.set_bounds(slots * min_limit_share / std::max(1U, options_.max_nodes),
                                slots * max_limit_per_slot);
        remove_all_except(kept);
        serve_queue(now, out);
    }
    run_callbacks(out);
}

} // namespace berylcrank
