#include "modules/berylcrank_routing/service/service_router.h"

#include <algorithm>

namespace berylcrank {

namespace {

// Between two requests that ask for a permit of an upstream although others have room. Such a request may
// wait a permit's round trip and more, so few do; without them the upstream would never become warm under a
// light load.
constexpr millis ask_pause{500};

} // namespace

service_router::tier service_router::tier_of(const upstream_state& it, const route_request& request,
                                             instant now) const {
    if (!it.is_in_use || it.gate.access == upstream_gate::access_mode::closed ||
        std::ranges::find(request.excluded, it.config->name) != request.excluded.end()) {
        return tier::absent;
    }
    if (it.is_exclusive || (request.is_alone && it.stats.in_flight() > 0)) {
        return tier::busy;
    }
    const bool lacks_permit = it.gate.access == upstream_gate::access_mode::by_permit && it.gate.permits == 0;
    if (lacks_permit) {
        if (!it.gate.may_request_permit) {
            return tier::absent;
        }
        const bool is_due = now - it.asked_at >= ask_pause && it.limit.allows(it.stats.in_flight()) &&
                            !it.outlier.is_ejected(now);
        return is_due ? tier::open : tier::by_permit;
    }
    if (options_.has_limits && !it.limit.allows(it.stats.in_flight())) {
        return tier::busy;
    }
    return options_.has_outliers && it.outlier.is_ejected(now) ? tier::ejected : tier::open;
}

/** Moves a random sample to the front of `usable_`, so that a choice does not look at every upstream. */
void service_router::sample() {
    const std::size_t count = std::min(options_.sample_size, usable_.size());
    if (count == usable_.size()) {
        return;
    }
    for (std::size_t n = 0; n < count; ++n) {
        std::swap(usable_[n], usable_[n + random_.below(usable_.size() - n)]);
    }
}

upstream_state* service_router::choose_picked(instant now) {
    if (picked_.empty()) {
        return nullptr;
    }
    views_.clear();
    for (const auto* it : picked_) {
        views_.push_back(it->view(base_, now));
    }
    return picked_[policy_->choose(views_, random_)];
}

service_router::pick service_router::choose(const route_request& it, instant now) {
    if (usable_.empty()) {
        return {}; // refuse at once: nothing to wait for
    }
    if (options_.has_limits && !total_limit_.allows(stats_.in_flight)) {
        return {.is_busy = true};
    }
    sample();
    const std::size_t first = std::min(options_.sample_size, usable_.size());
    bool is_busy = false;
    for (const std::size_t count : {first, usable_.size()}) {
        picked_.clear();
        for (std::size_t n = 0; n < count; ++n) {
            const auto found = tier_of(*usable_[n], it, now);
            is_busy = is_busy || found == tier::busy;
            if (found == tier::open) {
                picked_.push_back(usable_[n]);
            }
        }
        if (auto* chosen = choose_picked(now); chosen != nullptr) {
            return {.chosen = chosen};
        }
    }
    // Asking for a permit comes before waiting; an ejected upstream only when nothing else is left (fail
    // open).
    for (const auto wanted : {tier::by_permit, tier::ejected}) {
        if (wanted == tier::ejected && is_busy) {
            break;
        }
        picked_.clear();
        std::ranges::copy_if(usable_, std::back_inserter(picked_),
                             [&](const auto* state) { return tier_of(*state, it, now) == wanted; });
        if (auto* chosen = choose_picked(now); chosen != nullptr) {
            return {.chosen = chosen};
        }
    }
    return {.is_busy = is_busy};
}

route_grant service_router::grant(upstream_state& to, std::uint64_t number, const route_request& it,
                                  instant now) {
    route_grant given{.number = number, .upstream_id = to.id, .upstream = to.config, .at = now};
    if (to.gate.access == upstream_gate::access_mode::by_permit) {
        given.used_permit = to.gate.permits > 0;
        given.needs_permit = !given.used_permit;
        to.gate.permits -= given.used_permit ? 1 : 0;
        to.asked_at = given.needs_permit ? now : to.asked_at;
    }
    to.is_exclusive = it.is_alone;
    to.stats.on_dispatch(base_, now);
    to.limit.on_dispatch(to.stats.in_flight());
    total_limit_.on_dispatch(++stats_.in_flight);
    policy_->on_dispatch(to.id, now);
    ++stats_.granted[static_cast<std::size_t>(it.request_class)];
    stats_.retries += it.kind == attempt_kind::retry ? 1 : 0;
    stats_.hedges += it.kind == attempt_kind::hedge ? 1 : 0;
    return given;
}

std::shared_ptr<const upstream_config> service_router::next_probe(instant now) {
    const lock_guard lock(mutex_);
    upstream_state* oldest = nullptr;
    millis age{-1};
    for (auto* it : usable_) {
        if (!it->probes.is_due(now)) {
            continue;
        }
        const auto view = it->view(base_, now);
        const millis unheard = view.has_report ? view.report_age : now.since_start();
        if (unheard > age) {
            oldest = it;
            age = unheard;
        }
    }
    if (oldest == nullptr || !oldest->probes.try_start(now)) {
        return nullptr;
    }
    ++stats_.probes;
    stats_.probe_time += options_.probe_cost;
    return oldest->config;
}

void service_router::probe_done(std::string_view upstream, const std::optional<load_report>& it, millis took,
                                instant now) {
    const lock_guard lock(mutex_);
    auto* state = find(upstream);
    if (state == nullptr) {
        return;
    }
    const auto before = state->probes.charged();
    state->probes.on_done(took);
    stats_.probe_time += state->probes.charged() - before;
    if (it) {
        state->stats.on_report(*it, base_, now);
    }
}

} // namespace berylcrank
