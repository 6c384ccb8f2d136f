#include "modules/berylcrank_gateway/client/connection_pool.h"

#include "modules/berylcrank_gateway/server/http_listener.h"

#include <algorithm>

namespace berylcrank {

bool connection_pool::is_reusable(const client_connection& it, millis max_idle) const {
    const auto limit = it.keep_alive() > millis{}
                           ? std::max(it.keep_alive() - idle_margin, it.keep_alive() * 0.5)
                           : default_idle_timeout;
    return it.idle() && time_.now() - it.idle_since() < std::min(limit, max_idle);
}

client_connection_ptr connection_pool::acquire(const std::string& key, const std::string& address,
                                               millis max_idle) {
    auto& idle = idle_[key];
    while (!idle.empty()) {
        auto it = std::move(idle.back());
        idle.pop_back();
        if (is_reusable(*it, max_idle)) {
            return it;
        }
        it->cancel();
    }
    ++opened_;
    return std::make_shared<client_connection>(io_, parse_endpoint(address), time_);
}

void connection_pool::release(const std::string& key, client_connection_ptr it) {
    idle_[key].push_back(std::move(it));
}

void connection_pool::close_idle(const std::string& key) {
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
            const bool keep = is_reusable(*it, max_idle_timeout);
            if (!keep) {
                it->cancel();
            }
            return !keep;
        });
    }
}

} // namespace berylcrank
