#include "modules/berylcrank_routing/service/service_router.h"

#include <algorithm>

namespace berylcrank {

void service_router::learn_failure(upstream_state& from, attempt_outcome outcome, instant now) {
    from.stats.on_failure(base_, now);
    policy_->on_failure(from.id, now);
    if (outcome == attempt_outcome::timed_out) {
        from.limit.on_timeout(now);
        total_limit_.on_timeout(now);
    }
    if (!options_.has_outliers || !from.outlier.on_failure(now)) {
        return;
    }
    const auto ejected = static_cast<std::size_t>(
        std::ranges::count_if(usable_, [&](const auto* it) { return it->outlier.is_ejected(now); }));
    if (ejected < outlier_detector::most_ejected(usable_.size())) {
        from.outlier.eject(now);
        ++stats_.ejections;
    }
}

void service_router::learn(upstream_state& from, attempt_outcome outcome, millis latency, instant now) {
    switch (outcome) {
    case attempt_outcome::success:
        from.stats.on_answer(latency, base_, now);
        from.limit.on_answer(latency, now);
        total_limit_.on_answer(latency, now);
        from.outlier.on_good(now);
        policy_->on_answer(from.id, latency, now);
        return;
    case attempt_outcome::shed:
        from.stats.on_shed(from.config->slots, base_, now);
        from.limit.on_shed(now);
        total_limit_.on_shed(now);
        policy_->on_shed(from.id, now);
        return;
    case attempt_outcome::unused:
        from.stats.on_unused(base_, now);
        return;
    case attempt_outcome::error:
    case attempt_outcome::connect_failed:
    case attempt_outcome::lost:
    case attempt_outcome::timed_out:
        learn_failure(from, outcome, now);
    }
}

void service_router::release(const route_grant& it, attempt_outcome outcome, instant now) {
    calls out;
    {
        const lock_guard lock(mutex_);
        const auto at = states_.find(it.upstream_id);
        if (at == states_.end()) {
            return;
        }
        auto& state = *at->second;
        ++stats_.outcomes[static_cast<std::size_t>(outcome)];
        --stats_.in_flight;
        state.is_exclusive = false;
        learn(state, outcome, now - it.at, now);
        if (state.is_removed && state.stats.in_flight() == 0) {
            forget(state.id);
        }
        serve_queue(now, out);
    }
    run(out);
}

void service_router::report_load(const route_grant& from, const load_report& it, instant now) {
    const lock_guard lock(mutex_);
    const auto at = states_.find(from.upstream_id);
    if (at != states_.end()) {
        const double load = static_cast<double>(it.in_flight) / std::max(1U, from.upstream->slots);
        at->second->limit.on_report(load, now);
        total_limit_.on_report(load, now);
        base_.learn_report(it.in_flight, now - from.at);
        at->second->stats.on_report(it, base_, now);
    }
}

routing_stats service_router::stats(instant now) const {
    const lock_guard lock(mutex_);
    routing_stats it = stats_;
    it.upstreams = usable_.size();
    it.ejected = static_cast<std::size_t>(
        std::ranges::count_if(usable_, [&](const auto* state) { return state->outlier.is_ejected(now); }));
    it.waiting = queue_.size();
    it.limit = total_limit_.limit();
    it.latency_ms = base_.latency_ms();
    return it;
}

std::optional<candidate_view> service_router::view(std::string_view upstream, instant now) const {
    const lock_guard lock(mutex_);
    const auto* state = find(upstream);
    return state == nullptr ? std::nullopt : std::optional{state->view(base_, now)};
}

millis service_router::expected_latency() const {
    const lock_guard lock(mutex_);
    return millis::from_value(base_.latency_ms());
}

std::optional<millis> service_router::hedge_delay() const {
    const lock_guard lock(mutex_);
    return base_.late_ms() > 0 ? std::optional{millis::from_value(base_.late_ms())} : std::nullopt;
}

} // namespace berylcrank
