#include "modules/berylcrank_balance/admission/wait_queue.h"

#include <algorithm>

namespace berylcrank {

void wait_queue::push(waiting_request it) {
    const auto order = it.late ? it.expires_at.since_start() : millis{} - it.queued_at.since_start();
    const key k{it.priority, it.late, order, it.number};
    keys_[it.number] = {it.service, k};
    queues_[it.service].emplace(k, std::move(it));
}

void wait_queue::erase(std::uint64_t number) {
    const auto it = keys_.find(number);
    if (it == keys_.end()) {
        return;
    }
    const auto queue = queues_.find(it->second.first);
    queue->second.erase(it->second.second);
    if (queue->second.empty()) {
        queues_.erase(queue);
    }
    keys_.erase(it);
}

std::vector<waiting_request> wait_queue::fronts(std::string_view service) const {
    std::vector<waiting_request> result;
    const auto queue = queues_.find(service);
    if (queue == queues_.end()) {
        return result;
    }
    for (const auto& [k, it] : queue->second) {
        if (result.empty() || result.back().priority != it.priority || result.back().late != it.late) {
            result.push_back(it);
        }
    }
    return result;
}

std::optional<std::uint64_t> wait_queue::oldest_on_time(std::string_view service) const {
    const auto it = queues_.find(service);
    if (it == queues_.end()) {
        return std::nullopt;
    }
    const auto found = std::find_if(it->second.rbegin(), it->second.rend(),
                                    [](const auto& entry) { return !entry.second.late; });
    return found == it->second.rend() ? std::nullopt : std::optional(found->second.number);
}

std::vector<std::string> wait_queue::services() const {
    std::vector<std::string> result;
    for (const auto& [service, queue] : queues_) {
        result.push_back(service);
    }
    return result;
}

std::vector<waiting_request> wait_queue::expired(instant now) {
    std::vector<waiting_request> result;
    for (const auto& [service, queue] : queues_) {
        for (const auto& [k, it] : queue) {
            if (it.expires_at <= now) {
                result.push_back(it);
            }
        }
    }
    for (const auto& it : result) {
        erase(it.number);
    }
    return result;
}

std::size_t wait_queue::ahead_of(std::string_view service, int priority, bool late) const {
    const auto it = queues_.find(service);
    if (it == queues_.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(it->second.begin(), it->second.end(), [&](const auto& entry) {
            const auto& waiting = entry.second;
            return waiting.priority < priority || (waiting.priority == priority && (late || !waiting.late));
        }));
}

waiting_count wait_queue::count(std::string_view service) const {
    waiting_count result{.service = service_number(service)};
    if (const auto it = queues_.find(service); it != queues_.end()) {
        for (const auto& [k, waiting] : it->second) {
            ++(waiting.late ? result.late : result.on_time);
        }
    }
    return result;
}

} // namespace berylcrank
