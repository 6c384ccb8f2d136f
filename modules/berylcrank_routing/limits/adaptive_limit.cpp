#include "modules/berylcrank_routing/limits/adaptive_limit.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::uint32_t least_answers = 32; // the lowest mean of fewer lies far below the true mean
constexpr std::uint32_t least_outcomes = 8; // fewer say nothing about the share of sheds
constexpr double baseline_drift = 1.001; // per window: a lasting change of service time becomes the baseline
constexpr double overload_share = 0.1;   // sheds among outcomes that count as overload

} // namespace

adaptive_limit::adaptive_limit(const options& it) : options_(it) {
    options_.least = std::max(1.0, it.least);
    options_.most = std::max(options_.least, it.most);
    limit_ = std::clamp(it.initial, options_.least, options_.most);
}

void adaptive_limit::set_most(double most) {
    const double before = options_.most;
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

void adaptive_limit::on_overload(instant now) {
    ++overloads_;
    if (now >= window_end_) {
        close_window(now);
    }
}

void adaptive_limit::close_window(instant now) {
    const std::uint32_t outcomes = answers_ + overloads_;
    bool is_overloaded = outcomes >= least_outcomes && overloads_ > overload_share * outcomes;
    if (!is_overloaded && answers_ < least_answers) {
        return; // the window goes on until it says something
    }
    const double mean_ms = answers_ > 0 ? sum_ms_ / answers_ : 0;
    if (answers_ >= least_answers) {
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
    overloads_ = 0;
    was_reached_ = false;
}

} // namespace berylcrank
