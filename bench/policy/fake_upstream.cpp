#include "bench/policy/fake_upstream.h"

#include <algorithm>

namespace berylcrank::bench {

namespace {

constexpr millis fast_error_time = millis::from_micros(100);
constexpr millis history_duration{1000};

} // namespace

void fake_upstream::record_load() {
    history_.emplace_back(events_.now(), static_cast<std::uint32_t>(running_.size() + queue_.size()));
    while (history_.size() > 1 && history_[1].first < events_.now() - history_duration) {
        history_.pop_front();
    }
}

load_report fake_upstream::report() const {
    load_report result{.in_flight = static_cast<std::uint32_t>(running_.size() + queue_.size()),
                       .slots = slots_};
    if (behaviour_.reports_no_load) {
        result.in_flight = 0;
    } else if (behaviour_.report_age > millis{}) {
        const auto reported_at = events_.now() - behaviour_.report_age;
        const auto next = std::ranges::upper_bound(history_, reported_at, {},
                                                   [](const auto& entry) { return entry.first; });
        result.in_flight = next == history_.begin() ? 0 : std::prev(next)->second;
    }
    return result;
}

std::uint64_t fake_upstream::submit(double service_ms, completion_callback callback) {
    const auto number = ++last_number_;
    if (behaviour_.is_down) {
        callback(upstream_outcome::refused, std::nullopt);
    } else if (behaviour_.fails_fast) {
        events_.run_after(fast_error_time, [this, callback = std::move(callback)] {
            callback(upstream_outcome::error, report());
        });
    } else if (behaviour_.shed_threshold > 0 && queue_.size() >= behaviour_.shed_threshold) {
        callback(upstream_outcome::shed, report());
    } else {
        queue_.push_back({.number = number, .remaining_ms = service_ms, .callback = std::move(callback)});
        start_queued();
        record_load();
    }
    return number;
}

void fake_upstream::start_queued() {
    while (running_.size() < slots_ && !queue_.empty()) {
        auto started = std::move(queue_.front());
        queue_.pop_front();
        started.updated_at = events_.now();
        started.version = ++last_version_;
        schedule(started);
        running_.push_back(std::move(started));
    }
}

void fake_upstream::schedule(const job& request) {
    events_.run_after(
        millis::from_value(request.remaining_ms * behaviour_.slowdown),
        [this, number = request.number, version = request.version] { finish(number, version); });
}

void fake_upstream::finish(std::uint64_t number, std::uint64_t version) {
    const auto finished = std::ranges::find(running_, number, &job::number);
    if (finished == running_.end() || finished->version != version) {
        return; // The request was cancelled, lost or rescheduled.
    }
    const auto load = report(); // Includes the finished request.
    const auto callback = std::move(finished->callback);
    running_.erase(finished);
    start_queued();
    record_load();
    callback(random_.unit() < behaviour_.error_rate ? upstream_outcome::error : upstream_outcome::success,
             load);
}

void fake_upstream::cancel(std::uint64_t number) {
    std::erase_if(queue_, [&](const job& request) { return request.number == number; });
    std::erase_if(running_, [&](const job& request) { return request.number == number; });
    start_queued();
    record_load();
}

void fake_upstream::set(const behaviour& next) {
    for (auto& request : running_) {
        request.remaining_ms -= (events_.now() - request.updated_at).value() / behaviour_.slowdown;
        request.remaining_ms = std::max(0.0, request.remaining_ms);
        request.updated_at = events_.now();
        request.version = ++last_version_;
    }
    behaviour_ = next;
    if (!next.is_down) {
        for (const auto& request : running_) {
            schedule(request);
        }
        return;
    }
    std::vector<job> lost = std::move(running_);
    running_.clear();
    std::ranges::move(queue_, std::back_inserter(lost));
    queue_.clear();
    record_load();
    for (const auto& request : lost) {
        request.callback(upstream_outcome::lost, std::nullopt);
    }
}

} // namespace berylcrank::bench
