#include "modules/berylcrank_gateway/client/connection_pool.h"

#include "modules/berylcrank_gateway/server/http_listener.h"

#include <algorithm>

namespace berylcrank {

bool connection_pool::fresh(const client_connection& it, millis max_idle) const {
    const auto limit = it.keep_alive() > millis{}
                           ? std::max(it.keep_alive() - idle_margin, it.keep_alive() * 0.5)
                           : usual_idle;
    return it.idle() && time_.now() - it.idle_since() < std::min(limit, max_idle);
}

client_connection_ptr connection_pool::take(const std::string& key, const std::string& address,
                                            millis max_idle) {
    auto& idle = idle_[key];
    while (!idle.empty()) {
        auto it = std::move(idle.back());
        idle.pop_back();
        if (fresh(*it, max_idle)) {
            return it;
        }
        it->cancel();
    }
    ++opened_;
    return std::make_shared<client_connection>(io_, parse_endpoint(address), time_);
}

void connection_pool::give(const std::string& key, client_connection_ptr it) {
    idle_[key].push_back(std::move(it));
}

void connection_pool::forget(const std::string& key) {
    const auto it = idle_.find(key);
    if (it == idle_.end()) {
        return;
    }
    for (const auto& connection : it->second) {
        connection->cancel();
    }
    idle_.erase(it);
}

void connection_pool::expire() {
    for (auto& [key, idle] : idle_) {
        std::erase_if(idle, [this](const auto& it) {
            const bool keep = fresh(*it, longest_idle);
            if (!keep) {
                it->cancel();
            }
            return !keep;
        });
    }
}

} // namespace berylcrank
