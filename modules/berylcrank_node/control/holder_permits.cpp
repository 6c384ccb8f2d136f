#include "modules/berylcrank_node/control/holder_permits.h"

#include "modules/berylcrank_node/control/node_peer_service.h"

#include <algorithm>
#include <utility>

namespace berylcrank {

std::optional<std::size_t> holder_permits::queue::first() const {
    const auto it = std::ranges::find_if(waiters, [](const auto& some) { return !some.empty(); });
    return it == waiters.end() ? std::nullopt : std::optional(static_cast<std::size_t>(it - waiters.begin()));
}

void holder_permits::acquire(const std::string& upstream, request_class it, instant deadline,
                             on_permit done) {
    {
        const lock_guard hold(mutex_);
        if (waiting_ < options_.most_waiting) {
            ++waiting_;
            auto& some = queues_[upstream].waiters[static_cast<std::size_t>(it)];
            some.push_back({deadline, std::exchange(done, nullptr)});
        }
    }
    if (done) {
        done(std::nullopt);
        return;
    }
    ask(upstream);
}

void holder_permits::release(const permit_release& it) {
    send_release(it, options_.release_tries);
}

void holder_permits::tick() {
    std::vector<std::string> due;
    std::vector<on_permit> late;
    {
        const lock_guard hold(mutex_);
        const auto now = parts_.time.now();
        for (auto it = queues_.begin(); it != queues_.end();) {
            auto& line = it->second;
            std::ranges::move(remove_late(line, now), std::back_inserter(late));
            if (line.first()) {
                if (!line.is_asking && line.again <= now) {
                    due.push_back(it->first);
                }
            } else if (!line.is_asking) {
                queues_.erase(it++);
                continue;
            }
            ++it;
        }
    }
    for (const auto& it : late) {
        it(std::nullopt);
    }
    for (const auto& it : due) {
        ask(it);
    }
}

std::size_t holder_permits::waiting() const {
    const lock_guard hold(mutex_);
    return waiting_;
}

void holder_permits::ask(const std::string& upstream) {
    for (bool goes_on = true; goes_on;) {
        auto priority = request_class::lookup;
        {
            const lock_guard hold(mutex_);
            const auto it = queues_.find(upstream);
            const auto first = it == queues_.end() ? std::nullopt : it->second.first();
            if (!first || it->second.is_asking || it->second.again > parts_.time.now()) {
                return;
            }
            it->second.is_asking = true;
            priority = static_cast<request_class>(*first);
        }
        const auto answer = send_ask(upstream, priority);
        goes_on = answer && take(upstream, *answer);
    }
}

std::optional<holder_permits::reply> holder_permits::send_ask(const std::string& upstream, request_class it) {
    const auto holder = holder_of(upstream);
    const auto asked = parts_.time.now();
    if (holder == parts_.self) {
        const auto limits = cold_limits_of(*parts_.config.view(), upstream);
        return reply{holder, asked, parts_.issuer.acquire(parts_.self, upstream, it, limits, asked)};
    }
    const auto address = parts_.peers.rpc_address(holder);
    if (!address) {
        return reply{holder, asked, {}};
    }
    parts_.client.acquire_permit(
        *address, parts_.self, upstream, it, options_.call,
        [this, upstream, holder, asked](peer_failure failure, const permit_answer& answer) {
            if (take(upstream, {holder, asked, failure == peer_failure::none ? answer : permit_answer{}})) {
                ask(upstream);
            }
        });
    return std::nullopt;
}

bool holder_permits::take(const std::string& upstream, const reply& it) {
    std::vector<on_permit> without;
    on_permit with;
    bool goes_on = false;
    {
        const lock_guard hold(mutex_);
        const auto now = parts_.time.now();
        auto& line = queues_[upstream];
        line.is_asking = false;
        const auto wait = it.answer.retry_after > millis{0} ? it.answer.retry_after : options_.retry;
        // Who cannot wait that long is told at once, so that it tries another upstream.
        without = remove_late(line, it.answer.granted ? now : now + wait);
        const auto first = line.first();
        if (it.answer.granted && first) {
            auto& some = line.waiters.at(*first);
            with = std::move(some.front().done);
            some.pop_front();
            --waiting_;
        }
        line.again = it.answer.granted ? now : now + std::min(wait, options_.longest_wait);
        goes_on = it.answer.granted && line.first().has_value();
    }
    if (with) {
        with(cold_permit{.id = it.answer.permit,
                         .upstream = upstream,
                         .holder = it.holder,
                         .expires = it.asked + it.answer.expires_after});
    } else if (it.answer.granted) {
        release({.permit = it.answer.permit, .upstream = upstream});
    }
    for (const auto& done : without) {
        done(std::nullopt);
    }
    return goes_on;
}

void holder_permits::send_release(const permit_release& it, unsigned tries) {
    const auto holder = holder_of(it.upstream);
    if (holder == parts_.self) {
        const auto limits = cold_limits_of(*parts_.config.view(), it.upstream);
        parts_.issuer.release(it, limits, parts_.time.now());
    } else if (const auto address = parts_.peers.rpc_address(holder)) {
        // The holder ignores repeated releases. One that is lost for good costs the permit's remaining time.
        parts_.client.release_permit(*address, it, options_.call, [this, it, tries](peer_failure end, bool) {
            if (end == peer_failure::no_response && tries > 1) {
                send_release(it, tries - 1);
            }
        });
    }
}

std::vector<holder_permits::on_permit> holder_permits::remove_late(queue& it, instant limit) {
    std::vector<on_permit> out;
    for (auto& some : it.waiters) {
        for (auto& one : some) {
            if (one.deadline <= limit) {
                out.push_back(std::move(one.done));
            }
        }
        std::erase_if(some, [&](const waiter& one) { return one.deadline <= limit; });
    }
    waiting_ -= out.size();
    return out;
}

incarnation holder_permits::holder_of(const std::string& upstream) const {
    return parts_.config.view()->holder_of(group_of(upstream)).holder;
}

} // namespace berylcrank
