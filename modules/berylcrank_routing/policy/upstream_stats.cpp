#include "modules/berylcrank_routing/policy/upstream_stats.h"

#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

constexpr double prior_answers = 1; // 0 would let a single long request look like a stall
constexpr double usual_gain = 0.02; // slow enough to keep a real queue visible as a deviation
constexpr double error_gain = 0.2;  // weight of one outcome in the error rate

double forget(double age_ms, double constant_ms) {
    return std::exp(-age_ms / constant_ms);
}

} // namespace

void latency_window::advance(double window_ms, instant now) {
    if (now <= at_) {
        return;
    }
    const double kept = forget((now - at_).value(), window_ms);
    exposure_ms_ = exposure_ms_ * kept + in_flight_ * window_ms * (1 - kept);
    answers_ *= kept;
    at_ = now;
}

void latency_window::add(int change, double window_ms, instant now) {
    advance(window_ms, now);
    in_flight_ += change;
}

void latency_window::complete(double window_ms, instant now) {
    advance(window_ms, now);
    answers_ += 1;
}

double latency_window::estimate_ms(double prior_ms, double weight, double window_ms, instant now) const {
    const double kept = now > at_ ? forget((now - at_).value(), window_ms) : 1.0;
    const double exposure = exposure_ms_ * kept + in_flight_ * window_ms * (1 - kept);
    return (weight * prior_ms + exposure) / (weight + answers_ * kept);
}

void upstream_stats::on_dispatch(const service_baseline& base, instant now) {
    latency_.add(1, window_ms(base), now);
    ++in_flight_;
}

void upstream_stats::end(const service_baseline& base, instant now) {
    latency_.add(-1, window_ms(base), now);
    in_flight_ -= in_flight_ > 0 ? 1 : 0;
}

void upstream_stats::on_unused(const service_baseline& base, instant now) {
    end(base, now);
}

void upstream_stats::on_answer(millis latency, service_baseline& base, instant now) {
    end(base, now);
    latency_.complete(window_ms(base), now);
    base.learn_latency(latency);
    learn_error(0, now);
}

void upstream_stats::on_shed(std::uint32_t slots, const service_baseline& base, instant now) {
    end(base, now);
    latency_.complete(window_ms(base), now);
    others_ = std::max(0.0, slots + options_.shed_load - in_flight_);
    was_shed_ = true;
    report_at_ = now;
}

void upstream_stats::on_failure(const service_baseline& base, instant now) {
    end(base, now);
    latency_.complete(window_ms(base), now);
    learn_error(1, now);
}

void upstream_stats::learn_error(double outcome, instant now) {
    error_rate_ *= forget((now - error_at_).value(), options_.error_span.value());
    error_rate_ += (outcome - error_rate_) * error_gain;
    error_at_ = now;
}

void upstream_stats::on_report(const load_report& it, service_baseline& base, instant now) {
    has_report_ = true;
    was_shed_ = false;
    reported_ = it.in_flight;
    others_ = it.in_flight > in_flight_ ? it.in_flight - in_flight_ : 0;
    usual_others_ = usual_others_ < 0 ? others_ : usual_others_ + (others_ - usual_others_) * usual_gain;
    report_at_ = now;
    base.learn_others(others_);
}

void upstream_stats::fill(candidate_view& view, const service_baseline& base, instant now) const {
    view.in_flight = in_flight_;
    view.has_report = has_report_;
    view.reported = reported_;
    view.report_age = has_report_ ? now - report_at_ : millis{};
    view.others_load = base.others_mean();
    if (has_report_ || was_shed_) {
        // A shed answer is an act of the upstream, so it counts in full; a report only by its proven value.
        const double usual = was_shed_ ? base.others_mean() : usual_others_;
        const double value = was_shed_ ? 1 : base.reports().weight();
        const double deviation = others_ - usual;
        const double lifetime = deviation < 0 ? options_.free_lifetime : options_.busy_lifetime;
        const double age_ms = (now - report_at_).value();
        view.others_load += deviation * value * forget(age_ms, lifetime * base.time_scale_ms());
    }
    view.slowness = 1;
    if (base.latency_ms() > 0) {
        const double ms = latency_.estimate_ms(base.latency_ms(), prior_answers, window_ms(base), now);
        view.slowness = ms / base.latency_ms();
    }
    view.error_rate = error_rate_ * forget((now - error_at_).value(), options_.error_span.value());
}

} // namespace berylcrank
