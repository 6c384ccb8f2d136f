#include "modules/berylcrank_routing/limits/admission_queue.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr double interval_gain = 0.05;
constexpr std::size_t order_line = static_cast<std::size_t>(request_class::order);

} // namespace

std::optional<std::size_t> admission_queue::next_line() const {
    if (!lines_[order_line].empty()) {
        return order_line;
    }
    std::optional<std::size_t> best;
    for (std::size_t n = order_line + 1; n < lines_.size(); ++n) {
        if (!lines_[n].empty() && (!best || served_[n] < served_[*best])) {
            best = n;
        }
    }
    return best;
}

std::optional<std::size_t> admission_queue::lowest_below(request_class it) const {
    for (std::size_t n = lines_.size() - 1; n > static_cast<std::size_t>(it); --n) {
        if (!lines_[n].empty()) {
            return n;
        }
    }
    return std::nullopt;
}

millis admission_queue::expected_wait(request_class it, instant deadline) const {
    double ahead = static_cast<double>(lines_[order_line].size());
    if (it == request_class::order) {
        const auto end = lines_[order_line].lower_bound({deadline, 0});
        ahead = static_cast<double>(std::distance(lines_[order_line].begin(), end));
        return millis::from_value(ahead * interval_ms_);
    }
    const auto own = static_cast<std::size_t>(it);
    const auto end = lines_[own].lower_bound({deadline, 0});
    const auto earlier = static_cast<double>(std::distance(lines_[own].begin(), end));
    ahead += earlier;
    for (std::size_t n = order_line + 1; n < lines_.size(); ++n) {
        if (n != own) { // the other line is served in proportion, as long as it lasts
            const double share = earlier * options_.weights[n] / options_.weights[own];
            ahead += std::min(share, static_cast<double>(lines_[n].size()));
        }
    }
    return millis::from_value(ahead * interval_ms_);
}

push_result admission_queue::push(const queued_request& it, millis shortest_service, instant now,
                                  std::optional<queued_request>& displaced) {
    if (it.deadline <= now + expected_wait(it.request_class, it.deadline) + shortest_service) {
        return push_result::too_late;
    }
    if (waiting_.size() >= options_.limit) {
        const auto lower = lowest_below(it.request_class);
        if (!lower) {
            return push_result::full;
        }
        displaced = take(*lower, std::prev(lines_[*lower].end()));
    }
    if (waiting_.empty()) {
        was_busy_ = false;
    }
    const auto own = static_cast<std::size_t>(it.request_class);
    if (lines_[own].empty()) { // a line that was empty gets no credit for that time
        for (std::size_t n = order_line + 1; n < lines_.size(); ++n) {
            served_[own] = lines_[n].empty() ? served_[own] : std::max(served_[own], served_[n]);
        }
    }
    const key at{it.deadline, ++arrivals_};
    lines_[own].emplace(at, it);
    waiting_.emplace(it.number, std::pair{own, at});
    return push_result::queued;
}

std::optional<queued_request> admission_queue::top() const {
    const auto n = next_line();
    return n ? std::optional{lines_[*n].begin()->second} : std::nullopt;
}

std::optional<queued_request> admission_queue::pop(instant now) {
    const auto n = next_line();
    if (!n) {
        return std::nullopt;
    }
    if (was_busy_) {
        const double ms = (now - last_pop_).value();
        interval_ms_ = interval_ms_ == 0 ? ms : interval_ms_ + (ms - interval_ms_) * interval_gain;
    }
    last_pop_ = now;
    was_busy_ = true;
    served_[*n] += 1.0 / std::max(1e-6, options_.weights[*n]);
    return take(*n, lines_[*n].begin());
}

queued_request admission_queue::take(std::size_t n, line::iterator at) {
    const queued_request it = at->second;
    waiting_.erase(it.number);
    lines_[n].erase(at);
    return it;
}

bool admission_queue::remove(std::uint64_t number) {
    const auto at = waiting_.find(number);
    if (at == waiting_.end()) {
        return false;
    }
    const auto [n, where] = at->second;
    take(n, lines_[n].find(where));
    return true;
}

std::vector<queued_request> admission_queue::expire(instant now) {
    std::vector<queued_request> late;
    for (std::size_t n = 0; n < lines_.size(); ++n) {
        while (!lines_[n].empty() && lines_[n].begin()->first.first <= now) {
            late.push_back(take(n, lines_[n].begin()));
        }
    }
    return late;
}

} // namespace berylcrank
