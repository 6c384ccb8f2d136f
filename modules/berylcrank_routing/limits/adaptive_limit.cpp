#include "modules/berylcrank_routing/limits/adaptive_limit.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::uint32_t least_answers = 32; // the lowest mean of fewer lies far below the true mean
constexpr std::uint32_t least_outcomes = 8; // fewer say nothing about the share of sheds
constexpr double baseline_drift = 1.001; // per window: a lasting change of service time becomes the baseline
constexpr double timeout_share = 0.1;    // timeouts among outcomes that count as overload
// Sheds among outcomes that count as overload. At 90 % load 7 % are shed with slots merely full for a moment;
// a threshold of 0.1 then held the limit at its least and put p99 at 266 ms.
constexpr double shed_share = 0.5;

} // namespace

adaptive_limit::adaptive_limit(const options& it) : options_(it) {
    options_.least = std::max(1.0, it.least);
    options_.most = std::max(options_.least, it.most);
    limit_ = std::clamp(it.initial, options_.least, options_.most);
}

void adaptive_limit::set_bounds(double least, double most) {
    const double before = options_.most;
    options_.least = std::max(1.0, least);
    options_.most = std::max(options_.least, most);
    limit_ = std::clamp(limit_ * options_.most / before, options_.least, options_.most);
}

void adaptive_limit::on_dispatch(std::uint32_t in_flight) {
    was_reached_ = was_reached_ || in_flight + 1 > limit_;
}

void adaptive_limit::on_answer(millis latency, instant now) {
    sum_ms_ += latency.value();
    ++answers_;
    if (now >= window_end_) {
        close_window(now);
    }
}

void adaptive_limit::on_report(double load, instant now) {
    sum_load_ += load;
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
    const std::uint32_t outcomes = answers_ + timeouts_ + sheds_;
    const bool has_reports = reports_ >= least_outcomes;
    bool is_overloaded = outcomes >= least_outcomes &&
                         (timeouts_ > timeout_share * outcomes || sheds_ > shed_share * outcomes);
    if (!is_overloaded && !has_reports && answers_ < least_answers) {
        return; // the window goes on until it says something
    }
    const double mean_ms = answers_ > 0 ? sum_ms_ / answers_ : 0;
    if (has_reports) {
        is_overloaded = is_overloaded || sum_load_ / reports_ > options_.overload_load;
    } else if (answers_ >= least_answers) {
        baseline_ms_ = baseline_ms_ == 0 ? mean_ms : std::min(baseline_ms_ * baseline_drift, mean_ms);
        is_overloaded = is_overloaded || mean_ms > baseline_ms_ * options_.overload_ratio;
    }
    if (is_overloaded) {
        limit_ *= options_.decrease;
    } else if (was_reached_) {
        limit_ += options_.increase;
    }
    limit_ = std::clamp(limit_, options_.least, options_.most);
    window_end_ = now + options_.window;
    sum_ms_ = 0;
    answers_ = 0;
    timeouts_ = 0;
    sheds_ = 0;
    sum_load_ = 0;
    reports_ = 0;
    was_reached_ = false;
}

} // namespace berylcrank
