#include "modules/berylcrank_node/control/holder_permits.h"

#include "modules/berylcrank_node/control/node_peer_service.h"

#include <utility>
#include <vector>

namespace berylcrank {

void holder_permits::acquire(const std::string& upstream, request_class it, instant deadline,
                             on_permit done) {
    ask(std::make_shared<asker>(upstream, it, deadline, std::move(done), instant{}));
}

void holder_permits::release(const permit_release& it) {
    const auto holder = holder_of(it.upstream);
    if (holder == parts_.self) {
        const auto limits = cold_limits_of(*parts_.config.view(), it.upstream);
        parts_.issuer.release(it, limits, parts_.time.now());
    } else if (const auto address = parts_.peers.rpc_address(holder)) {
        // A lost release costs the permit's remaining time only, since permits expire.
        parts_.client.release_permit(*address, it, options_.call, [](peer_failure, bool) {});
    }
}

void holder_permits::tick() {
    std::vector<asker_ptr> due;
    {
        const lock_guard hold(mutex_);
        const auto now = parts_.time.now();
        for (auto& queue : waiting_) {
            std::deque<asker_ptr> rest;
            for (auto& it : queue) {
                (it->again <= now ? due.emplace_back() : rest.emplace_back()) = std::move(it);
            }
            queue = std::move(rest);
        }
    }
    for (const auto& it : due) {
        ask(it);
    }
}

void holder_permits::ask(const asker_ptr& it) {
    const auto holder = holder_of(it->upstream);
    if (holder == parts_.self) {
        ask_self(it);
    } else if (const auto address = parts_.peers.rpc_address(holder)) {
        ask_peer(it, holder, *address);
    } else {
        ask_later(it, options_.retry);
    }
}

void holder_permits::ask_self(const asker_ptr& it) {
    const auto limits = cold_limits_of(*parts_.config.view(), it->upstream);
    const auto now = parts_.time.now();
    take(it, parts_.self, now, parts_.issuer.acquire(parts_.self, it->upstream, it->priority, limits, now));
}

void holder_permits::ask_peer(const asker_ptr& it, incarnation holder, const std::string& address) {
    const auto asked = parts_.time.now();
    parts_.client.acquire_permit(
        address, parts_.self, it->upstream, it->priority, options_.call,
        [this, it, holder, asked](peer_failure failure, const permit_answer& answer) {
            if (failure == peer_failure::none) {
                take(it, holder, asked, answer);
            } else {
                ask_later(it, options_.retry);
            }
        });
}

void holder_permits::take(const asker_ptr& it, incarnation holder, instant asked,
                          const permit_answer& answer) {
    if (answer.granted) {
        it->done(cold_permit{.id = answer.permit,
                             .upstream = it->upstream,
                             .holder = holder,
                             .expires = asked + answer.expires_after});
        return;
    }
    ask_later(it, answer.retry_after > millis{0} ? answer.retry_after : options_.retry);
}

void holder_permits::ask_later(const asker_ptr& it, millis wait) {
    it->again = parts_.time.now() + wait;
    bool is_taken = false;
    if (it->again < it->deadline) {
        const lock_guard hold(mutex_);
        auto& queue = waiting_[static_cast<std::size_t>(it->priority)];
        is_taken = queue.size() < options_.most_waiting;
        if (is_taken) {
            queue.push_back(it);
        }
    }
    if (!is_taken) {
        it->done(std::nullopt);
    }
}

incarnation holder_permits::holder_of(const std::string& upstream) const {
    return parts_.config.view()->holder_of(group_of(upstream)).holder;
}

} // namespace berylcrank
