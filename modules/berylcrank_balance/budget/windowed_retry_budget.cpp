#include "modules/berylcrank_balance/budget/windowed_retry_budget.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr int buckets_per_window = 20;
constexpr double safety = 0.85; // resends arrive later than they are counted here

} // namespace

std::int64_t windowed_retry_budget::slot_of(instant now) const {
    return now.since_start().micros() /
           std::max<std::int64_t>(1, limits_.window.micros() / buckets_per_window);
}

windowed_retry_budget::bucket& windowed_retry_budget::current(instant now) {
    const auto slot = slot_of(now);
    auto& it = buckets_[static_cast<std::size_t>(slot) % bucket_count];
    if (it.slot != slot) {
        it = {.slot = slot};
    }
    return it;
}

void windowed_retry_budget::record_request(instant now) {
    ++current(now).requests;
}

bool windowed_retry_budget::take(std::size_t nodes, instant now) {
    auto& it = current(now);
    double requests = 0;
    double resends = 0;
    for (const auto& b : buckets_) {
        if (b.slot > it.slot - buckets_per_window) {
            requests += b.requests;
        }
        if (b.slot >= it.slot - buckets_per_window - 1) {
            resends += b.resends;
        }
    }
    const double share = limits_.burst / static_cast<double>(std::max<std::size_t>(1, nodes));
    if (resends + 1 > safety * (limits_.ratio * requests + share)) {
        return false;
    }
    ++it.resends;
    return true;
}

} // namespace berylcrank
