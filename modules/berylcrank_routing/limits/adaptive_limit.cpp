#include "modules/berylcrank_routing/limits/adaptive_limit.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::uint32_t min_responses = 32; // the lowest mean of smaller samples lies far below the true mean
constexpr std::uint32_t min_outcomes = 8;   // too few outcomes give no reliable ratio of shed requests
constexpr double baseline_growth = 1.001; // per window; a lasting change of service time becomes the baseline
constexpr double overload_timeout_ratio = 0.1; // timeouts per outcome above which the window is overloaded
// Shed requests per outcome above which the window is overloaded. At 90 % load 7 % of the requests are shed
// while all slots are busy for a moment: a threshold of 0.1 held the limit at its minimum and raised p99 to
// 266 ms.
constexpr double overload_shed_ratio = 0.5;

} // namespace

adaptive_limit::adaptive_limit(const options& opts) : options_(opts) {
    options_.min = std::max(1.0, opts.min);
    options_.max = std::max(options_.min, opts.max);
    limit_ = std::clamp(opts.initial, options_.min, options_.max);
}

void adaptive_limit::set_bounds(double min, double max) {
    const double previous_max = options_.max;
    options_.min = std::max(1.0, min);
    options_.max = std::max(options_.min, max);
    limit_ = std::clamp(limit_ * options_.max / previous_max, options_.min, options_.max);
}

void adaptive_limit::on_dispatch(std::uint32_t in_flight) {
    is_limit_reached_ = is_limit_reached_ || in_flight + 1 > limit_;
}

void adaptive_limit::on_response(millis latency, instant now) {
    latency_sum_ms_ += latency.value();
    ++responses_;
    if (now >= window_end_) {
        close_window(now);
    }
}

void adaptive_limit::on_report(double load, instant now) {
    load_sum_ += load;
    ++reports_;
    if (now >= window_end_) {
        close_window(now);
    }
}

void adaptive_limit::on_timeout(instant now) {
    ++timeouts_;
    if (now >= window_end_) {
        close_window(now);
    }
}

void adaptive_limit::on_shed(instant now) {
    ++sheds_;
    if (now >= window_end_) {
        close_window(now);
    }
}

void adaptive_limit::close_window(instant now) {
    const std::uint32_t outcomes = responses_ + timeouts_ + sheds_;
    const bool has_reports = reports_ >= min_outcomes;
    bool is_overloaded = outcomes >= min_outcomes && (timeouts_ > overload_timeout_ratio * outcomes ||
                                                      sheds_ > overload_shed_ratio * outcomes);
    if (!is_overloaded && !has_reports && responses_ < min_responses) {
        return; // extend the window until it has enough samples
    }
    const double mean_ms = responses_ > 0 ? latency_sum_ms_ / responses_ : 0;
    if (has_reports) {
        is_overloaded = is_overloaded || load_sum_ / reports_ > options_.overload_load;
    } else if (responses_ >= min_responses) {
        baseline_ms_ = baseline_ms_ == 0 ? mean_ms : std::min(baseline_ms_ * baseline_growth, mean_ms);
        is_overloaded = is_overloaded || mean_ms > baseline_ms_ * options_.overload_ratio;
    }
    if (is_overloaded) {
        limit_ *= options_.decrease;
    } else if (is_limit_reached_) {
        limit_ += options_.increase;
    }
    limit_ = std::clamp(limit_, options_.min, options_.max);
    window_end_ = now + options_.window;
    latency_sum_ms_ = 0;
    responses_ = 0;
    timeouts_ = 0;
    sheds_ = 0;
    load_sum_ = 0;
    reports_ = 0;
    is_limit_reached_ = false;
}

} // namespace berylcrank
