#include "bench/policy/fake_upstream.h"

#include <algorithm>

namespace berylcrank::bench {

namespace {

constexpr millis fail_fast_time = millis::from_micros(100);
constexpr millis history_kept{1000};

} // namespace

void fake_upstream::note() {
    history_.emplace_back(events_.now(), static_cast<std::uint32_t>(running_.size() + queue_.size()));
    while (history_.size() > 1 && history_[1].first < events_.now() - history_kept) {
        history_.pop_front();
    }
}

load_report fake_upstream::report() const {
    load_report it{.in_flight = static_cast<std::uint32_t>(running_.size() + queue_.size()), .slots = slots_};
    if (behaviour_.lies) {
        it.in_flight = 0;
    } else if (behaviour_.report_age > millis{}) {
        const auto when = events_.now() - behaviour_.report_age;
        const auto later =
            std::ranges::upper_bound(history_, when, {}, [](const auto& at) { return at.first; });
        it.in_flight = later == history_.begin() ? 0 : std::prev(later)->second;
    }
    return it;
}

std::uint64_t fake_upstream::arrive(double work_ms, on_end done) {
    const auto number = ++next_;
    if (behaviour_.is_down) {
        done(upstream_end::refused, std::nullopt);
    } else if (behaviour_.fails_fast) {
        events_.after(fail_fast_time,
                      [this, done = std::move(done)] { done(upstream_end::error, report()); });
    } else if (behaviour_.shed_at > 0 && queue_.size() >= behaviour_.shed_at) {
        done(upstream_end::shed, report());
    } else {
        queue_.push_back({.number = number, .remaining_ms = work_ms, .done = std::move(done)});
        fill();
        note();
    }
    return number;
}

void fake_upstream::fill() {
    while (running_.size() < slots_ && !queue_.empty()) {
        auto it = std::move(queue_.front());
        queue_.pop_front();
        it.since = events_.now();
        it.version = ++version_;
        schedule(it);
        running_.push_back(std::move(it));
    }
}

void fake_upstream::schedule(const job& it) {
    events_.after(millis::from_value(it.remaining_ms * behaviour_.slowdown),
                  [this, number = it.number, version = it.version] { finish(number, version); });
}

void fake_upstream::finish(std::uint64_t number, std::uint64_t version) {
    const auto at = std::ranges::find(running_, number, &job::number);
    if (at == running_.end() || at->version != version) {
        return; // cancelled, lost, or rescheduled at another speed
    }
    const auto load = report(); // includes the request that it answers
    const auto done = std::move(at->done);
    running_.erase(at);
    fill();
    note();
    done(random_.unit() < behaviour_.error_rate ? upstream_end::error : upstream_end::good, load);
}

void fake_upstream::cancel(std::uint64_t number) {
    std::erase_if(queue_, [&](const job& it) { return it.number == number; });
    std::erase_if(running_, [&](const job& it) { return it.number == number; });
    fill();
    note();
}

void fake_upstream::set(const behaviour& it) {
    for (auto& run : running_) {
        run.remaining_ms -= (events_.now() - run.since).value() / behaviour_.slowdown;
        run.remaining_ms = std::max(0.0, run.remaining_ms);
        run.since = events_.now();
        run.version = ++version_;
    }
    behaviour_ = it;
    if (!it.is_down) {
        for (const auto& run : running_) {
            schedule(run);
        }
        return;
    }
    std::vector<job> lost = std::move(running_);
    running_.clear();
    std::ranges::move(queue_, std::back_inserter(lost));
    queue_.clear();
    note();
    for (const auto& run : lost) {
        run.done(upstream_end::lost, std::nullopt);
    }
}

} // namespace berylcrank::bench
