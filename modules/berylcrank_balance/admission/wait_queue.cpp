#include "modules/berylcrank_balance/admission/wait_queue.h"

#include <algorithm>

namespace berylcrank {

void wait_queue::push(waiting_request request) {
    const auto order =
        request.late ? request.expires_at.since_start() : millis{} - request.queued_at.since_start();
    const key position{request.priority, request.late, order, request.number};
    keys_[request.number] = {request.service, position};
    queues_[request.service].emplace(position, std::move(request));
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
    for (const auto& [position, request] : queue->second) {
        if (result.empty() || result.back().priority != request.priority ||
            result.back().late != request.late) {
            result.push_back(request);
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
        for (const auto& [position, request] : queue) {
            if (request.expires_at <= now) {
                result.push_back(request);
            }
        }
    }
    for (const auto& request : result) {
        erase(request.number);
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
        for (const auto& [position, waiting] : it->second) {
            ++(waiting.late ? result.late : result.on_time);
        }
    }
    return result;
}

} // namespace berylcrank
