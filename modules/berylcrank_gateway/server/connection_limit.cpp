#include "modules/berylcrank_gateway/server/connection_limit.h"

#include "modules/berylcrank_gateway/server/server_connection.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::size_t reserve_share = 8; // of the limit, for readiness checks, operators and other nodes

} // namespace

connection_limit::options connection_limit::options_for(std::size_t max_descriptors) {
    if (max_descriptors == 0) {
        return {};
    }
    const auto sockets = max_descriptors - std::min(max_descriptors, file_descriptors);
    const auto limit = std::max(min_connections, sockets / 2);
    return {.limit = limit, .reserve = limit / reserve_share};
}

bool connection_limit::make_room(bool uses_reserve, instant now) {
    const auto limit = options_.limit - (uses_reserve ? 0 : options_.reserve);
    if (options_.limit == 0 || open_.size() < limit || close_one(now)) {
        return true;
    }
    ++waits_;
    return false;
}

bool connection_limit::close_one(instant now) {
    server_connection* idle = nullptr;
    server_connection* stalled = nullptr;
    const auto earlier = [](const server_connection* one, const server_connection& other) {
        return one == nullptr || other.last_activity() < one->last_activity();
    };
    for (auto* it : open_) {
        const auto quiet_for = now - it->last_activity();
        if (it->idle() && quiet_for >= options_.idle_time && earlier(idle, *it)) {
            idle = it;
        } else if (it->input_incomplete() && quiet_for >= options_.stall_time && earlier(stalled, *it)) {
            stalled = it;
        }
    }
    if (idle != nullptr) {
        ++closed_idle_;
        idle->abort();
        return true;
    }
    if (stalled != nullptr) {
        ++closed_stalled_;
        stalled->refuse_and_close();
        return true;
    }
    return false;
}

} // namespace berylcrank
