#include "modules/berylcrank_routing/policy/upstream_stats.h"

#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

constexpr double prior_completions = 1;   // with 0, a single long request counts as a stall
constexpr double report_mean_gain = 0.02; // slow, so that a real queue stays a deviation from the mean
constexpr double error_gain = 0.2;        // weight of one outcome in the moving average of the error rate

double decay(double age_ms, double constant_ms) {
    return std::exp(-age_ms / constant_ms);
}

} // namespace

void latency_window::advance(double window_ms, instant now) {
    if (now <= at_) {
        return;
    }
    const double kept = decay((now - at_).value(), window_ms);
    in_flight_ms_ = in_flight_ms_ * kept + in_flight_ * window_ms * (1 - kept);
    completions_ *= kept;
    at_ = now;
}

void latency_window::add(int delta, double window_ms, instant now) {
    advance(window_ms, now);
    in_flight_ += delta;
}

void latency_window::complete(double window_ms, instant now) {
    advance(window_ms, now);
    completions_ += 1;
}

double latency_window::estimate_ms(double prior_ms, double weight, double window_ms, instant now) const {
    const double kept = now > at_ ? decay((now - at_).value(), window_ms) : 1.0;
    const double in_flight_ms = in_flight_ms_ * kept + in_flight_ * window_ms * (1 - kept);
    return (weight * prior_ms + in_flight_ms) / (weight + completions_ * kept);
}

void upstream_stats::on_dispatch(const service_baseline& base, instant now) {
    latency_.add(1, window_ms(base), now);
    ++in_flight_;
}

void upstream_stats::end_request(const service_baseline& base, instant now) {
    latency_.add(-1, window_ms(base), now);
    in_flight_ -= in_flight_ > 0 ? 1 : 0;
}

void upstream_stats::on_unused(const service_baseline& base, instant now) {
    end_request(base, now);
}

void upstream_stats::on_response(millis latency, service_baseline& base, instant now) {
    end_request(base, now);
    latency_.complete(window_ms(base), now);
    base.record_latency(latency);
    record_error(0, now);
}

void upstream_stats::on_shed(std::uint32_t slots, const service_baseline& base, instant now) {
    end_request(base, now);
    latency_.complete(window_ms(base), now);
    other_nodes_load_ = std::max(0.0, slots + options_.shed_excess_load - in_flight_);
    was_shed_ = true;
    report_at_ = now;
}

void upstream_stats::on_failure(const service_baseline& base, instant now) {
    end_request(base, now);
    latency_.complete(window_ms(base), now);
    record_error(1, now);
}

void upstream_stats::record_error(double outcome, instant now) {
    error_rate_ *= decay((now - error_at_).value(), options_.error_time_constant.value());
    error_rate_ += (outcome - error_rate_) * error_gain;
    error_at_ = now;
}

void upstream_stats::on_report(const load_report& report, service_baseline& base, instant now) {
    has_report_ = true;
    was_shed_ = false;
    reported_load_ = report.in_flight;
    other_nodes_load_ = report.in_flight > in_flight_ ? report.in_flight - in_flight_ : 0;
    mean_other_nodes_load_ =
        mean_other_nodes_load_ < 0
            ? other_nodes_load_
            : mean_other_nodes_load_ + (other_nodes_load_ - mean_other_nodes_load_) * report_mean_gain;
    report_at_ = now;
    base.record_other_nodes_load(other_nodes_load_);
}

void upstream_stats::fill(candidate_view& view, const service_baseline& base, instant now) const {
    view.in_flight = in_flight_;
    view.has_report = has_report_;
    view.reported_load = reported_load_;
    view.report_age = has_report_ ? now - report_at_ : millis{};
    view.other_nodes_load = base.mean_other_nodes_load();
    if (has_report_ || was_shed_) {
        // A shed request proves that the upstream is overloaded, so it has full weight. A report is weighted
        // by its correlation with latency.
        const double mean = was_shed_ ? base.mean_other_nodes_load() : mean_other_nodes_load_;
        const double weight = was_shed_ ? 1 : base.reports().weight();
        const double deviation = other_nodes_load_ - mean;
        const double lifetime = deviation < 0 ? options_.below_mean_lifetime : options_.above_mean_lifetime;
        const double age_ms = (now - report_at_).value();
        view.other_nodes_load += deviation * weight * decay(age_ms, lifetime * base.time_scale_ms());
    }
    view.slowness = 1;
    if (base.latency_ms() > 0) {
        const double ms = latency_.estimate_ms(base.latency_ms(), prior_completions, window_ms(base), now);
        view.slowness = ms / base.latency_ms();
    }
    view.error_rate = error_rate_ * decay((now - error_at_).value(), options_.error_time_constant.value());
}

} // namespace berylcrank
