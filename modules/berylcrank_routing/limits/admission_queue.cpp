#include "modules/berylcrank_routing/limits/admission_queue.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr double pop_interval_gain = 0.05;
constexpr std::size_t order_queue = static_cast<std::size_t>(request_class::order);

} // namespace

std::optional<std::size_t> admission_queue::next_queue() const {
    if (!queues_[order_queue].empty()) {
        return order_queue;
    }
    std::optional<std::size_t> best;
    for (std::size_t n = order_queue + 1; n < queues_.size(); ++n) {
        if (!queues_[n].empty() && (!best || served_[n] < served_[*best])) {
            best = n;
        }
    }
    return best;
}

std::optional<std::size_t> admission_queue::lowest_queue_below(request_class cls) const {
    for (std::size_t n = queues_.size() - 1; n > static_cast<std::size_t>(cls); --n) {
        if (!queues_[n].empty()) {
            return n;
        }
    }
    return std::nullopt;
}

millis admission_queue::expected_wait(request_class cls, instant deadline) const {
    double ahead = static_cast<double>(queues_[order_queue].size());
    if (cls == request_class::order) {
        const auto end = queues_[order_queue].lower_bound({deadline, 0});
        ahead = static_cast<double>(std::distance(queues_[order_queue].begin(), end));
        return millis::from_value(ahead * mean_pop_interval_ms_);
    }
    const auto own = static_cast<std::size_t>(cls);
    const auto end = queues_[own].lower_bound({deadline, 0});
    const auto earlier = static_cast<double>(std::distance(queues_[own].begin(), end));
    ahead += earlier;
    for (std::size_t n = order_queue + 1; n < queues_.size(); ++n) {
        if (n != own) { // the other queue is served in proportion until it is empty
            const double share = earlier * options_.weights[n] / options_.weights[own];
            ahead += std::min(share, static_cast<double>(queues_[n].size()));
        }
    }
    return millis::from_value(ahead * mean_pop_interval_ms_);
}

push_result admission_queue::push(const queued_request& request, millis min_service_time, instant now,
                                  std::optional<queued_request>& displaced) {
    if (request.deadline <= now + expected_wait(request.request_class, request.deadline) + min_service_time) {
        return push_result::too_late;
    }
    if (positions_.size() >= options_.limit) {
        const auto lower = lowest_queue_below(request.request_class);
        if (!lower) {
            return push_result::full;
        }
        displaced = extract(*lower, std::prev(queues_[*lower].end()));
    }
    if (positions_.empty()) {
        was_busy_ = false;
    }
    const auto own = static_cast<std::size_t>(request.request_class);
    if (queues_[own].empty()) { // a queue gains no credit while it is empty
        for (std::size_t n = order_queue + 1; n < queues_.size(); ++n) {
            served_[own] = queues_[n].empty() ? served_[own] : std::max(served_[own], served_[n]);
        }
    }
    const queue_key at{request.deadline, ++arrivals_};
    queues_[own].emplace(at, request);
    positions_.emplace(request.number, std::pair{own, at});
    return push_result::queued;
}

std::optional<queued_request> admission_queue::top() const {
    const auto n = next_queue();
    return n ? std::optional{queues_[*n].begin()->second} : std::nullopt;
}

std::optional<queued_request> admission_queue::pop(instant now) {
    const auto n = next_queue();
    if (!n) {
        return std::nullopt;
    }
    if (was_busy_) {
        const double ms = (now - last_pop_).value();
        mean_pop_interval_ms_ =
            mean_pop_interval_ms_ == 0
                ? ms
                : mean_pop_interval_ms_ + (ms - mean_pop_interval_ms_) * pop_interval_gain;
    }
    last_pop_ = now;
    was_busy_ = true;
    served_[*n] += 1.0 / std::max(1e-6, options_.weights[*n]);
    return extract(*n, queues_[*n].begin());
}

queued_request admission_queue::extract(std::size_t n, class_queue::iterator at) {
    const queued_request request = at->second;
    positions_.erase(request.number);
    queues_[n].erase(at);
    return request;
}

bool admission_queue::remove(std::uint64_t number) {
    const auto at = positions_.find(number);
    if (at == positions_.end()) {
        return false;
    }
    const auto [n, where] = at->second;
    extract(n, queues_[n].find(where));
    return true;
}

std::vector<queued_request> admission_queue::expire(instant now) {
    std::vector<queued_request> late;
    for (std::size_t n = 0; n < queues_.size(); ++n) {
        while (!queues_[n].empty() && queues_[n].begin()->first.first <= now) {
            late.push_back(extract(n, queues_[n].begin()));
        }
    }
    return late;
}

} // namespace berylcrank
