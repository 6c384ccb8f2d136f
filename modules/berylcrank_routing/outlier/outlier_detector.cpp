#include "modules/berylcrank_routing/outlier/outlier_detector.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr double error_rate_gain = 0.1; // weight of the newest outcome in the moving average
constexpr std::uint32_t max_backoff_exponent = 16;
// A success resets the backoff after this multiple of the base ejection time since the last ejection ended.
constexpr int backoff_reset_factor = 4;

} // namespace

void outlier_detector::record(double failure) {
    ++outcomes_;
    error_rate_ += (failure - error_rate_) * error_rate_gain;
}

void outlier_detector::on_success(instant now) {
    consecutive_failures_ = 0;
    record(0);
    if (backoff_exponent_ > 0 && now > ejected_until_ + options_.base_ejection * backoff_reset_factor) {
        backoff_exponent_ = 0;
    }
}

bool outlier_detector::on_failure(instant now) {
    ++consecutive_failures_;
    record(1);
    if (is_ejected(now)) {
        return false;
    }
    // Only a success resets `consecutive_failures_`. After an ejection for consecutive failures, a single
    // failure is therefore enough.
    const bool has_failed_again =
        backoff_exponent_ > 0 && consecutive_failures_ > options_.consecutive_failures;
    return has_failed_again || consecutive_failures_ >= options_.consecutive_failures ||
           (outcomes_ >= options_.min_outcomes && error_rate_ >= options_.error_rate);
}

void outlier_detector::eject(instant now) {
    const double factor = static_cast<double>(1ULL << std::min(backoff_exponent_, max_backoff_exponent));
    ejected_until_ = now + std::min(options_.max_ejection, options_.base_ejection * factor);
    ++ejections_;
    ++backoff_exponent_;
    outcomes_ = 0;
    error_rate_ = 0;
}

} // namespace berylcrank
