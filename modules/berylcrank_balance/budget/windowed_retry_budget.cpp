#include "modules/berylcrank_balance/budget/windowed_retry_budget.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr int buckets_per_window = 20;
constexpr double safety_factor = 0.85; // retries reach the upstream later than they are counted here

} // namespace

std::int64_t windowed_retry_budget::bucket_index(instant now) const {
    return now.since_start().micros() /
           std::max<std::int64_t>(1, limits_.window.micros() / buckets_per_window);
}

windowed_retry_budget::bucket& windowed_retry_budget::current_bucket(instant now) {
    const auto index = bucket_index(now);
    auto& it = buckets_[static_cast<std::size_t>(index) % bucket_count];
    if (it.index != index) {
        it = {.index = index};
    }
    return it;
}

void windowed_retry_budget::record_request(instant now) {
    ++current_bucket(now).requests;
}

bool windowed_retry_budget::take(std::size_t nodes, instant now) {
    auto& it = current_bucket(now);
    double requests = 0;
    double retries = 0;
    for (const auto& b : buckets_) {
        if (b.index > it.index - buckets_per_window) {
            requests += b.requests;
        }
        if (b.index >= it.index - buckets_per_window - 1) {
            retries += b.retries;
        }
    }
    const double burst_share = limits_.burst / static_cast<double>(std::max<std::size_t>(1, nodes));
    if (retries + 1 > safety_factor * (limits_.ratio * requests + burst_share)) {
        return false;
    }
    ++it.retries;
    return true;
}

} // namespace berylcrank
