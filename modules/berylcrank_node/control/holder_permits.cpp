#include "modules/berylcrank_node/control/holder_permits.h"

#include "modules/berylcrank_node/control/node_peer_service.h"

#include <algorithm>
#include <utility>

namespace berylcrank {

std::optional<std::size_t> holder_permits::queue::first() const {
    const auto it = std::ranges::find_if(waiters, [](const auto& list) { return !list.empty(); });
    return it == waiters.end() ? std::nullopt : std::optional(static_cast<std::size_t>(it - waiters.begin()));
}

void holder_permits::acquire(const std::string& upstream, request_class it, instant deadline,
                             permit_callback done) {
    {
        const lock_guard hold(mutex_);
        if (waiting_ < options_.max_waiting) {
            ++waiting_;
            auto& list = queues_[upstream].waiters[static_cast<std::size_t>(it)];
            list.push_back({deadline, std::exchange(done, nullptr)});
        }
    }
    if (done) {
        done(std::nullopt);
        return;
    }
    request_permit(upstream);
}

void holder_permits::release(const permit_release& it) {
    send_release(it, options_.max_release_sends);
}

void holder_permits::tick() {
    std::vector<std::string> due;
    std::vector<permit_callback> expired;
    {
        const lock_guard hold(mutex_);
        const auto now = deps_.time.now();
        for (auto it = queues_.begin(); it != queues_.end();) {
            auto& entry = it->second;
            std::ranges::move(remove_expired(entry, now), std::back_inserter(expired));
            if (entry.first()) {
                if (!entry.is_calling && entry.next_call <= now) {
                    due.push_back(it->first);
                }
            } else if (!entry.is_calling) {
                queues_.erase(it++);
                continue;
            }
            ++it;
        }
    }
    for (const auto& it : expired) {
        it(std::nullopt);
    }
    for (const auto& it : due) {
        request_permit(it);
    }
}

std::size_t holder_permits::waiting() const {
    const lock_guard hold(mutex_);
    return waiting_;
}

void holder_permits::request_permit(const std::string& upstream) {
    for (bool has_next = true; has_next;) {
        auto priority = request_class::lookup;
        {
            const lock_guard hold(mutex_);
            const auto it = queues_.find(upstream);
            const auto first = it == queues_.end() ? std::nullopt : it->second.first();
            if (!first || it->second.is_calling || it->second.next_call > deps_.time.now()) {
                return;
            }
            it->second.is_calling = true;
            priority = static_cast<request_class>(*first);
        }
        const auto response = call_holder(upstream, priority);
        has_next = response && on_permit_result(upstream, *response);
    }
}

std::optional<holder_permits::permit_result> holder_permits::call_holder(const std::string& upstream,
                                                                         request_class it) {
    const auto holder = holder_of(upstream);
    const auto sent_at = deps_.time.now();
    if (holder == deps_.self) {
        const auto limits = cold_limits_of(*deps_.config.view(), upstream);
        return permit_result{holder, sent_at,
                             deps_.issuer.acquire(deps_.self, upstream, it, limits, sent_at)};
    }
    const auto address = deps_.peers.rpc_address(holder);
    if (!address) {
        return permit_result{holder, sent_at, {}};
    }
    deps_.client.acquire_permit(
        *address, deps_.self, upstream, it, options_.call_timeout,
        [this, upstream, holder, sent_at](peer_failure failure, const permit_response& response) {
            if (on_permit_result(upstream, {holder, sent_at,
                                            failure == peer_failure::none ? response : permit_response{}})) {
                request_permit(upstream);
            }
        });
    return std::nullopt;
}

bool holder_permits::on_permit_result(const std::string& upstream, const permit_result& it) {
    std::vector<permit_callback> refused;
    permit_callback granted;
    bool has_next = false;
    {
        const lock_guard hold(mutex_);
        const auto now = deps_.time.now();
        auto& entry = queues_[upstream];
        entry.is_calling = false;
        const auto wait =
            it.response.retry_after > millis{0} ? it.response.retry_after : options_.retry_delay;
        // Requests that expire before the next call are refused now, so that they can try another upstream.
        refused = remove_expired(entry, it.response.granted ? now : now + wait);
        const auto first = entry.first();
        if (it.response.granted && first) {
            auto& list = entry.waiters.at(*first);
            granted = std::move(list.front().done);
            list.pop_front();
            --waiting_;
        }
        entry.next_call = it.response.granted ? now : now + std::min(wait, options_.max_wait);
        has_next = it.response.granted && entry.first().has_value();
    }
    if (granted) {
        granted(cold_permit{.id = it.response.permit,
                            .upstream = upstream,
                            .holder = it.holder,
                            .expires = it.sent_at + it.response.expires_after});
    } else if (it.response.granted) {
        release({.permit = it.response.permit, .upstream = upstream});
    }
    for (const auto& done : refused) {
        done(std::nullopt);
    }
    return has_next;
}

void holder_permits::send_release(const permit_release& it, unsigned remaining_sends) {
    const auto holder = holder_of(it.upstream);
    if (holder == deps_.self) {
        const auto limits = cold_limits_of(*deps_.config.view(), it.upstream);
        deps_.issuer.release(it, limits, deps_.time.now());
    } else if (const auto address = deps_.peers.rpc_address(holder)) {
        // The holder ignores repeated releases. If all sends are lost, the permit stays in use until it
        // expires.
        deps_.client.release_permit(*address, it, options_.call_timeout,
                                    [this, it, remaining_sends](peer_failure end, bool) {
                                        if (end == peer_failure::no_response && remaining_sends > 1) {
                                            send_release(it, remaining_sends - 1);
                                        }
                                    });
    }
}

std::vector<holder_permits::permit_callback> holder_permits::remove_expired(queue& it, instant limit) {
    std::vector<permit_callback> out;
    for (auto& list : it.waiters) {
        for (auto& item : list) {
            if (item.deadline <= limit) {
                out.push_back(std::move(item.done));
            }
        }
        std::erase_if(list, [&](const waiter& item) { return item.deadline <= limit; });
    }
    waiting_ -= out.size();
    return out;
}

incarnation holder_permits::holder_of(const std::string& upstream) const {
    return deps_.config.view()->holder_of(group_of(upstream)).holder;
}

} // namespace berylcrank
