#include "modules/berylcrank_routing/outlier/outlier_detector.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr double rate_gain = 0.1;
constexpr std::uint32_t most_doublings = 16;
constexpr int forgiven_after = 4; // ejection times without a new ejection, after which doubling starts anew

} // namespace

void outlier_detector::count(double failure) {
    ++outcomes_;
    rate_ += (failure - rate_) * rate_gain;
}

void outlier_detector::on_good(instant now) {
    in_a_row_ = 0;
    count(0);
    if (doublings_ > 0 && now > ejected_until_ + options_.first_ejection * forgiven_after) {
        doublings_ = 0;
    }
}

bool outlier_detector::on_failure(instant now) {
    ++in_a_row_;
    count(1);
    if (is_ejected(now)) {
        return false;
    }
    // After an ejection a single failure is enough: nothing has shown that the cause has gone.
    const bool is_unproven = doublings_ > 0 && in_a_row_ > options_.failures_in_a_row;
    return is_unproven || in_a_row_ >= options_.failures_in_a_row ||
           (outcomes_ >= options_.least_outcomes && rate_ >= options_.error_rate);
}

void outlier_detector::eject(instant now) {
    const double factor = static_cast<double>(1ULL << std::min(doublings_, most_doublings));
    ejected_until_ = now + std::min(options_.longest_ejection, options_.first_ejection * factor);
    ++ejections_;
    ++doublings_;
    outcomes_ = 0;
    rate_ = 0;
}

} // namespace berylcrank
