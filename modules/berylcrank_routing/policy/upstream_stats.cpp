#include "modules/berylcrank_routing/policy/upstream_stats.h"

#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

constexpr double baseline_gain = 0.01; // one answer in a hundred: steady against single slow ones
constexpr double late_quantile = 0.95;
constexpr double prior_answers = 2;    // with fewer, one long exponential request looks like a stall
constexpr double trust_loss = 0.7;     // factor at each contradicted report
constexpr double trust_gain = 0.05;    // share of the missing trust regained by each consistent report
constexpr double slow_for_doubt = 2.5; // slowness that a report of free slots must not go with
constexpr millis travel_time{2};       // a request sent within it may not yet be in a report
constexpr double error_gain = 0.2;     // weight of one outcome in the error rate

double forget(millis age, double constant_ms) {
    return std::exp(-age.value() / constant_ms);
}

} // namespace

void latency_window::advance(instant now) {
    if (now <= at_) {
        return;
    }
    const double kept = forget(now - at_, window_ms_);
    exposure_ms_ = exposure_ms_ * kept + in_flight_ * window_ms_ * (1 - kept);
    answers_ *= kept;
    at_ = now;
}

void latency_window::add(int change, instant now) {
    advance(now);
    in_flight_ += change;
}

void latency_window::complete(instant now) {
    advance(now);
    answers_ += 1;
}

double latency_window::estimate_ms(double prior_ms, double weight, instant now) const {
    const double kept = now > at_ ? forget(now - at_, window_ms_) : 1.0;
    const double exposure = exposure_ms_ * kept + in_flight_ * window_ms_ * (1 - kept);
    return (weight * prior_ms + exposure) / (weight + answers_ * kept);
}

void service_baseline::learn_latency(millis it) {
    const double ms = it.value();
    latency_ms = latency_ms == 0 ? ms : latency_ms + (ms - latency_ms) * baseline_gain;
    // Stochastic approximation of a quantile: steps up and down balance at the wanted share.
    const double step = latency_ms * baseline_gain;
    late_ms =
        late_ms == 0 ? ms * 3 : late_ms + (ms > late_ms ? step * late_quantile : step * (late_quantile - 1));
}

void service_baseline::learn_others(double it) {
    others_mean += (it - others_mean) * baseline_gain;
}

void upstream_stats::on_dispatch(instant now) {
    latency_.add(1, now);
    ++in_flight_;
    last_dispatch_ = now;
}

void upstream_stats::end(instant now) {
    latency_.add(-1, now);
    in_flight_ -= in_flight_ > 0 ? 1 : 0;
}

void upstream_stats::on_unused(instant now) {
    end(now);
}

void upstream_stats::on_answer(millis latency, service_baseline& base, instant now) {
    end(now);
    latency_.complete(now);
    base.learn_latency(latency);
    learn_error(0, now);
}

void upstream_stats::on_shed(std::uint32_t slots, instant now) {
    end(now);
    latency_.complete(now);
    const double load = slots + options_.shed_load;
    if (!has_report_ || now > report_at_) {
        has_report_ = true;
        reported_ = static_cast<std::uint32_t>(load);
    }
    reported_others_ = std::max(0.0, load - in_flight_);
    report_at_ = now;
}

void upstream_stats::on_failure(instant now) {
    end(now);
    latency_.complete(now);
    learn_error(1, now);
}

void upstream_stats::learn_error(double outcome, instant now) {
    error_rate_ *= forget(now - error_at_, options_.error_span.value());
    error_rate_ += (outcome - error_rate_) * error_gain;
    error_at_ = now;
}

bool upstream_stats::is_contradicted(const load_report& it, const service_baseline& base, instant now) const {
    const std::uint32_t travelling = now - last_dispatch_ < travel_time && in_flight_ > 0 ? 1 : 0;
    if (it.in_flight + travelling < in_flight_) {
        return true;
    }
    const double ms = latency_.estimate_ms(base.latency_ms, prior_answers, now);
    return it.slots > 0 && it.in_flight < it.slots && ms > slow_for_doubt * base.latency_ms;
}

void upstream_stats::on_report(const load_report& it, service_baseline& base, instant now) {
    if (is_contradicted(it, base, now)) {
        trust_ *= trust_loss;
    } else {
        trust_ += (1 - trust_) * trust_gain;
    }
    has_report_ = true;
    reported_ = it.in_flight;
    reported_others_ = it.in_flight > in_flight_ ? it.in_flight - in_flight_ : 0;
    report_at_ = now;
    base.learn_others(reported_others_);
}

void upstream_stats::fill(candidate_view& view, const service_baseline& base, instant now) const {
    view.in_flight = in_flight_;
    view.has_report = has_report_;
    view.reported = reported_;
    view.report_age = has_report_ ? now - report_at_ : millis{};
    view.others_load = base.others_mean;
    if (has_report_) {
        const double weight = trust_ * forget(view.report_age, options_.report_lifetime.value());
        view.others_load += (reported_others_ - base.others_mean) * weight;
    }
    view.slowness =
        base.latency_ms > 0 ? latency_.estimate_ms(base.latency_ms, prior_answers, now) / base.latency_ms : 1;
    view.error_rate = error_rate_ * forget(now - error_at_, options_.error_span.value());
}

} // namespace berylcrank
