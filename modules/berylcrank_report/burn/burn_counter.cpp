#include "modules/berylcrank_report/burn/burn_counter.h"

#include <algorithm>
#include <array>
#include <utility>

namespace berylcrank {

namespace {

struct ring_layout {
    std::int64_t step_seconds;
    std::size_t steps;
};

// Each ring has one bucket more than the length of its longest window requires, because a window rarely
// starts at a bucket boundary.
constexpr std::array<ring_layout, 3> ring_layouts{{{5, 61}, {60, 361}, {3600, 73}}};

constexpr std::size_t ring_index(burn_window length) {
    switch (length) {
    case burn_window::five_minutes:
        return 0;
    case burn_window::half_hour:
    case burn_window::one_hour:
    case burn_window::six_hours:
        return 1;
    case burn_window::three_days:
        return 2;
    }
    return 2;
}

std::int64_t seconds_at(instant now) {
    return now.since_start().count() / 1000;
}

} // namespace

burn_counter::burn_counter() {
    for (const auto& layout : ring_layouts) {
        rings_.push_back(
            {.step_seconds = layout.step_seconds, .buckets = std::vector<burn_counts>(layout.steps)});
    }
}

void burn_counter::record(burn_event event, bool in_domain_change, instant now) {
    const lock_guard hold(mutex_);
    for (auto& r : rings_) {
        const auto step = seconds_at(now) / r.step_seconds;
        r.advance_to(step);
        // Threads may record slightly out of order; an event of an older step counts in the newest bucket.
        r.buckets[static_cast<std::size_t>(r.newest) % r.buckets.size()].add(event);
    }
    since_start_.add(event);
    if (in_domain_change) {
        in_domain_change_.add(event);
    }
}

burn_counts burn_counter::window(burn_window length, instant now) const {
    const lock_guard hold(mutex_);
    const auto& r = rings_[ring_index(length)];
    const auto last = seconds_at(now) / r.step_seconds;
    const auto first = (seconds_at(now) - length_seconds(length)) / r.step_seconds;
    return r.sum_since(std::max<std::int64_t>(first, 0), last);
}

burn_counts burn_counter::since_start() const {
    const lock_guard hold(mutex_);
    return since_start_;
}

burn_counts burn_counter::in_domain_change() const {
    const lock_guard hold(mutex_);
    return in_domain_change_;
}

void burn_counter::ring::advance_to(std::int64_t step) {
    const auto n = static_cast<std::int64_t>(buckets.size());
    for (auto s = std::max(newest + 1, step - n + 1); s <= step; ++s) {
        buckets[static_cast<std::size_t>(s % n)] = {};
    }
    newest = std::max(newest, step);
}

burn_counts burn_counter::ring::sum_since(std::int64_t first_step, std::int64_t last_step) const {
    burn_counts sum;
    const auto n = static_cast<std::int64_t>(buckets.size());
    for (auto s = std::max(first_step, newest - n + 1); s <= std::min(last_step, newest); ++s) {
        if (s >= 0) {
            sum.add(buckets[static_cast<std::size_t>(s % n)]);
        }
    }
    return sum;
}

} // namespace berylcrank
