#include "modules/berylcrank_balance/admission/wait_queue.h"

#include <algorithm>

namespace berylcrank {

void wait_queue::push(waiting_request it) {
    const key k{it.priority, it.late, it.give_up, it.number};
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

std::optional<waiting_request> wait_queue::front(std::string_view service) const {
    const auto it = queues_.find(service);
    if (it == queues_.end()) {
        return std::nullopt;
    }
    return it->second.begin()->second;
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
            if (it.give_up <= now) {
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

} // namespace berylcrank
