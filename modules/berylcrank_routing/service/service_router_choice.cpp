#include "modules/berylcrank_routing/service/service_router.h"

#include <algorithm>

namespace berylcrank {

namespace {

// Minimum time between two permit requests for the same upstream while other upstreams are available. A
// permit adds a round trip or more to the request, so they are rare. Without them an upstream would never
// become warm under a light load.
constexpr millis permit_request_interval{500};

} // namespace

service_router::availability service_router::availability_of(const upstream_state& upstream,
                                                             const route_request& request,
                                                             instant now) const {
    if (!upstream.is_in_use || upstream.gate.access == upstream_gate::access_mode::closed ||
        std::ranges::find(request.excluded, upstream.config->name) != request.excluded.end()) {
        return availability::unavailable;
    }
    if (upstream.is_exclusive || (request.needs_exclusive_upstream && upstream.stats.in_flight() > 0)) {
        return availability::busy;
    }
    const bool lacks_permit =
        upstream.gate.access == upstream_gate::access_mode::by_permit && upstream.gate.permits == 0;
    if (lacks_permit) {
        if (!upstream.gate.may_request_permit) {
            return availability::unavailable;
        }
        const bool is_due = now - upstream.permit_requested_at >= permit_request_interval &&
                            upstream.limit.allows(upstream.stats.in_flight()) &&
                            !upstream.outlier.is_ejected(now);
        return is_due ? availability::open : availability::by_permit;
    }
    if (options_.has_limits && !upstream.limit.allows(upstream.stats.in_flight())) {
        return availability::busy;
    }
    return options_.has_outliers && upstream.outlier.is_ejected(now) ? availability::ejected
                                                                     : availability::open;
}

/** Moves a random sample to the front of `usable_`, so that a selection does not scan every upstream. */
void service_router::sample() {
    const std::size_t count = std::min(options_.sample_size, usable_.size());
    if (count == usable_.size()) {
        return;
    }
    for (std::size_t n = 0; n < count; ++n) {
        std::swap(usable_[n], usable_[n + random_.below(usable_.size() - n)]);
    }
}

upstream_state* service_router::choose_candidate(instant now) {
    if (candidates_.empty()) {
        return nullptr;
    }
    views_.clear();
    for (const auto* candidate : candidates_) {
        views_.push_back(candidate->view(baseline_, now));
    }
    return candidates_[policy_->choose(views_, random_)];
}

service_router::selection service_router::choose(const route_request& request, instant now) {
    if (usable_.empty()) {
        return {}; // the request is refused at once, since no upstream will become free
    }
    if (options_.has_limits && !total_limit_.allows(stats_.in_flight)) {
        return {.is_busy = true};
    }
    sample();
    const std::size_t first = std::min(options_.sample_size, usable_.size());
    bool is_busy = false;
    for (const std::size_t count : {first, usable_.size()}) {
        candidates_.clear();
        for (std::size_t n = 0; n < count; ++n) {
            const auto state = availability_of(*usable_[n], request, now);
            is_busy = is_busy || state == availability::busy;
            if (state == availability::open) {
                candidates_.push_back(usable_[n]);
            }
        }
        if (auto* chosen = choose_candidate(now); chosen != nullptr) {
            return {.chosen = chosen};
        }
    }
    // A permit is requested before the request is queued. Ejected upstreams are used only if there is no
    // other upstream (fail open).
    for (const auto wanted : {availability::by_permit, availability::ejected}) {
        if (wanted == availability::ejected && is_busy) {
            break;
        }
        candidates_.clear();
        std::ranges::copy_if(usable_, std::back_inserter(candidates_), [&](const auto* state) {
            return availability_of(*state, request, now) == wanted;
        });
        if (auto* chosen = choose_candidate(now); chosen != nullptr) {
            return {.chosen = chosen};
        }
    }
    return {.is_busy = is_busy};
}

route_grant service_router::grant(upstream_state& upstream, std::uint64_t number,
                                  const route_request& request, instant now) {
    route_grant result{.number = number, .upstream_id = upstream.id, .upstream = upstream.config, .at = now};
    if (upstream.gate.access == upstream_gate::access_mode::by_permit) {
        result.used_permit = upstream.gate.permits > 0;
        result.needs_permit = !result.used_permit;
        upstream.gate.permits -= result.used_permit ? 1 : 0;
        upstream.permit_requested_at = result.needs_permit ? now : upstream.permit_requested_at;
    }
    upstream.is_exclusive = request.needs_exclusive_upstream;
    upstream.stats.on_dispatch(baseline_, now);
    upstream.limit.on_dispatch(upstream.stats.in_flight());
    total_limit_.on_dispatch(++stats_.in_flight);
    policy_->on_dispatch(upstream.id, now);
    ++stats_.granted[static_cast<std::size_t>(request.request_class)];
    stats_.retries += request.kind == attempt_kind::retry ? 1 : 0;
    stats_.hedges += request.kind == attempt_kind::hedge ? 1 : 0;
    return result;
}

std::shared_ptr<const upstream_config> service_router::next_probe(instant now) {
    const lock_guard lock(mutex_);
    upstream_state* stalest = nullptr;
    millis age{-1};
    for (auto* upstream : usable_) {
        if (!upstream->probes.is_due(now)) {
            continue;
        }
        const auto view = upstream->view(baseline_, now);
        const millis staleness = view.has_report ? view.report_age : now.since_start();
        if (staleness > age) {
            stalest = upstream;
            age = staleness;
        }
    }
    if (stalest == nullptr || !stalest->probes.try_start(now)) {
        return nullptr;
    }
    ++stats_.probes;
    stats_.probe_time += options_.probe_cost;
    return stalest->config;
}

void service_router::probe_done(std::string_view upstream, const std::optional<load_report>& report,
                                millis duration, instant now) {
    const lock_guard lock(mutex_);
    auto* state = find(upstream);
    if (state == nullptr) {
        return;
    }
    const auto before = state->probes.charged();
    state->probes.on_done(duration);
    stats_.probe_time += state->probes.charged() - before;
    if (report) {
        state->stats.on_report(*report, baseline_, now);
    }
}

} // namespace berylcrank
