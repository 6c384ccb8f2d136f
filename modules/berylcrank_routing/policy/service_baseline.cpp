#include "modules/berylcrank_routing/policy/service_baseline.h"

#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

constexpr double baseline_gain = 0.01; // one answer in a hundred: steady against single slow ones
constexpr double late_quantile = 0.95;
constexpr double unknown_latency_ms = 10;
constexpr double least_time_scale_ms = 1; // below, the network's 1 ms rules
constexpr double most_time_scale_ms = 1000;
// Measured correlations at 90 % load: current reports 0.08 to 0.27, reports 500 ms stale -0.27 to 0.13.
constexpr double correlation_of_no_value = 0.05;
constexpr double correlation_of_full_value = 0.2;
constexpr double value_gain = 1.0 / 256; // shorter: noise; longer: a change is noticed late
constexpr std::uint32_t least_answers = 64;
constexpr double most_relative_latency = 10; // bounds the weight of a single stalled request

} // namespace

void report_correlation::learn(double in_flight, double relative_latency) {
    const double x = in_flight;
    const double y = std::min(relative_latency, most_relative_latency);
    answers_ += answers_ < least_answers * 16 ? 1 : 0;
    const double gain = std::max(value_gain, 1.0 / answers_);
    x_ += (x - x_) * gain;
    y_ += (y - y_) * gain;
    xx_ += (x * x - xx_) * gain;
    yy_ += (y * y - yy_) * gain;
    xy_ += (x * y - xy_) * gain;
}

double report_correlation::correlation() const {
    const double var_x = xx_ - x_ * x_;
    const double var_y = yy_ - y_ * y_;
    constexpr double least_variance = 1e-9;
    return var_x < least_variance || var_y < least_variance ? 0 : (xy_ - x_ * y_) / std::sqrt(var_x * var_y);
}

double report_correlation::weight() const {
    if (answers_ < least_answers) {
        return 0;
    }
    const double share =
        (correlation() - correlation_of_no_value) / (correlation_of_full_value - correlation_of_no_value);
    return std::clamp(share, 0.0, 1.0);
}

void service_baseline::learn_latency(millis it) {
    const double ms = it.value();
    latency_ms_ = latency_ms_ == 0 ? ms : latency_ms_ + (ms - latency_ms_) * baseline_gain;
    // Stochastic approximation of a quantile: steps up and down balance at the wanted share.
    const double step = latency_ms_ * baseline_gain;
    const double move = ms > late_ms_ ? step * late_quantile : step * (late_quantile - 1);
    late_ms_ = late_ms_ == 0 ? ms * 3 : late_ms_ + move;
}

void service_baseline::learn_others(double it) {
    others_mean_ += (it - others_mean_) * baseline_gain;
}

void service_baseline::learn_report(double in_flight, millis latency) {
    if (latency_ms_ > 0) {
        reports_.learn(in_flight, latency.value() / latency_ms_);
    }
}

double service_baseline::time_scale_ms() const {
    return latency_ms_ == 0 ? unknown_latency_ms
                            : std::clamp(latency_ms_, least_time_scale_ms, most_time_scale_ms);
}

} // namespace berylcrank
