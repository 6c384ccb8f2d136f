#include "modules/berylcrank_routing/policy/service_baseline.h"

#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

// Averages over about 100 responses, so that one slow response has little effect.
constexpr double baseline_gain = 0.01;
constexpr double p95_quantile = 0.95;
constexpr double default_time_scale_ms = 10;
constexpr double min_time_scale_ms = 1; // below this, the network latency of about 1 ms dominates
constexpr double max_time_scale_ms = 1000;
// At 90 % load, current reports correlate by 0.08 to 0.27 and reports that are 500 ms old by -0.27 to 0.13.
constexpr double zero_weight_correlation = 0.05;
constexpr double full_weight_correlation = 0.2;
constexpr double correlation_gain = 1.0 / 256; // larger: more noise; smaller: changes are detected late
constexpr std::uint32_t min_samples = 64;
constexpr double max_relative_latency = 10; // limits the effect of a single stalled request

} // namespace

void report_correlation::record(double in_flight, double relative_latency) {
    const double x = in_flight;
    const double y = std::min(relative_latency, max_relative_latency);
    samples_ += samples_ < min_samples * 16 ? 1 : 0;
    const double gain = std::max(correlation_gain, 1.0 / samples_);
    mean_x_ += (x - mean_x_) * gain;
    mean_y_ += (y - mean_y_) * gain;
    mean_xx_ += (x * x - mean_xx_) * gain;
    mean_yy_ += (y * y - mean_yy_) * gain;
    mean_xy_ += (x * y - mean_xy_) * gain;
}

double report_correlation::correlation() const {
    const double var_x = mean_xx_ - mean_x_ * mean_x_;
    const double var_y = mean_yy_ - mean_y_ * mean_y_;
    constexpr double min_variance = 1e-9;
    return var_x < min_variance || var_y < min_variance
               ? 0
               : (mean_xy_ - mean_x_ * mean_y_) / std::sqrt(var_x * var_y);
}

double report_correlation::weight() const {
    if (samples_ < min_samples) {
        return 0;
    }
    const double share =
        (correlation() - zero_weight_correlation) / (full_weight_correlation - zero_weight_correlation);
    return std::clamp(share, 0.0, 1.0);
}

void service_baseline::record_latency(millis latency) {
    const double ms = latency.value();
    latency_ms_ = latency_ms_ == 0 ? ms : latency_ms_ + (ms - latency_ms_) * baseline_gain;
    // Stochastic approximation of a quantile: the steps up and down balance at the target quantile.
    const double step = latency_ms_ * baseline_gain;
    const double change = ms > p95_ms_ ? step * p95_quantile : step * (p95_quantile - 1);
    p95_ms_ = p95_ms_ == 0 ? ms * 3 : p95_ms_ + change;
}

void service_baseline::record_other_nodes_load(double load) {
    mean_other_nodes_load_ += (load - mean_other_nodes_load_) * baseline_gain;
}

void service_baseline::record_report(double in_flight, millis latency) {
    if (latency_ms_ > 0) {
        reports_.record(in_flight, latency.value() / latency_ms_);
    }
}

double service_baseline::time_scale_ms() const {
    return latency_ms_ == 0 ? default_time_scale_ms
                            : std::clamp(latency_ms_, min_time_scale_ms, max_time_scale_ms);
}

} // namespace berylcrank
