#include "modules/berylcrank_routing/service/service_router.h"

#include <algorithm>

namespace berylcrank {

void service_router::record_failure(upstream_state& upstream, attempt_outcome outcome, instant now) {
    upstream.stats.on_failure(baseline_, now);
    policy_->on_failure(upstream.id, now);
    if (outcome == attempt_outcome::timed_out) {
        upstream.limit.on_timeout(now);
        total_limit_.on_timeout(now);
    }
    if (!options_.has_outliers || !upstream.outlier.on_failure(now)) {
        return;
    }
    const auto ejected = static_cast<std::size_t>(
        std::ranges::count_if(usable_, [&](const auto* it) { return it->outlier.is_ejected(now); }));
    if (ejected < outlier_detector::max_ejected(usable_.size())) {
        upstream.outlier.eject(now);
        ++stats_.ejections;
    }
}

void service_router::record_outcome(upstream_state& upstream, attempt_outcome outcome, millis latency,
                                    instant now) {
    switch (outcome) {
    case attempt_outcome::success:
        upstream.stats.on_response(latency, baseline_, now);
        upstream.limit.on_response(latency, now);
        total_limit_.on_response(latency, now);
        upstream.outlier.on_success(now);
        policy_->on_response(upstream.id, latency, now);
        return;
    case attempt_outcome::shed:
        upstream.stats.on_shed(upstream.config->slots, baseline_, now);
        upstream.limit.on_shed(now);
        total_limit_.on_shed(now);
        policy_->on_shed(upstream.id, now);
        return;
    case attempt_outcome::unused:
        upstream.stats.on_unused(baseline_, now);
        return;
    case attempt_outcome::error:
    case attempt_outcome::connect_failed:
    case attempt_outcome::lost:
    case attempt_outcome::timed_out:
        record_failure(upstream, outcome, now);
    }
}

void service_router::release(const route_grant& grant, attempt_outcome outcome, instant now) {
    callback_list out;
    {
        const lock_guard lock(mutex_);
        const auto at = states_.find(grant.upstream_id);
        if (at == states_.end()) {
            return;
        }
        auto& state = *at->second;
        ++stats_.outcomes[static_cast<std::size_t>(outcome)];
        --stats_.in_flight;
        state.is_exclusive = false;
        record_outcome(state, outcome, now - grant.at, now);
        if (state.is_removed && state.stats.in_flight() == 0) {
            erase_upstream(state.id);
        }
        serve_queue(now, out);
    }
    run_callbacks(out);
}

void service_router::report_load(const route_grant& grant, const load_report& report, instant now) {
    const lock_guard lock(mutex_);
    const auto at = states_.find(grant.upstream_id);
    if (at != states_.end()) {
        const double load = static_cast<double>(report.in_flight) / std::max(1U, grant.upstream->slots);
        at->second->limit.on_report(load, now);
        total_limit_.on_report(load, now);
        baseline_.record_report(report.in_flight, now - grant.at);
        at->second->stats.on_report(report, baseline_, now);
    }
}

routing_stats service_router::stats(instant now) const {
    const lock_guard lock(mutex_);
    routing_stats result = stats_;
    result.upstreams = usable_.size();
    result.ejected = static_cast<std::size_t>(
        std::ranges::count_if(usable_, [&](const auto* state) { return state->outlier.is_ejected(now); }));
    result.waiting = queue_.size();
    result.limit = total_limit_.limit();
    result.latency_ms = baseline_.latency_ms();
    return result;
}

std::optional<candidate_view> service_router::view(std::string_view upstream, instant now) const {
    const lock_guard lock(mutex_);
    const auto* state = find(upstream);
    return state == nullptr ? std::nullopt : std::optional{state->view(baseline_, now)};
}

millis service_router::expected_latency() const {
    const lock_guard lock(mutex_);
    return millis::from_value(baseline_.latency_ms());
}

std::optional<millis> service_router::hedge_delay() const {
    const lock_guard lock(mutex_);
    return baseline_.p95_ms() > 0 ? std::optional{millis::from_value(baseline_.p95_ms())} : std::nullopt;
}

} // namespace berylcrank
