#include "modules/berylcrank_balance/usage/usage_owner.h"

#include <algorithm>
#include <xxhash.h>

namespace berylcrank {

usage_owner::usage_owner(std::uint64_t self, std::uint64_t run, usage_holder& holder, instant start)
    : self_(self), run_(run), holder_(holder) {
    for (auto& group : portions_) {
        for (auto& it : group) {
            it.lent_until = start + usage_holder::pledge_lifetime + clock_margin;
        }
    }
}

void usage_owner::set_candidates(std::span<const std::uint64_t> numbers) {
    order_.assign(numbers.begin(),
                  numbers.begin() + static_cast<std::ptrdiff_t>(std::min(numbers.size(), max_candidates)));
    absl::erase_if(candidates_, [&](const auto& it) {
        return std::find(order_.begin(), order_.end(), it.first) == order_.end();
    });
    for (const auto number : order_) {
        candidates_.try_emplace(number);
    }
}

std::vector<std::uint64_t> usage_owner::preferred(instant now) const {
    std::vector<std::uint64_t> result;
    for (const auto number : order_) {
        const auto& it = candidates_.at(number);
        const auto heard = it.acknowledged ? it.acknowledged : it.contacted;
        if (number == self_ || !heard || now - *heard < replacement_time) {
            result.push_back(number);
        }
        if (result.size() == max_holders) {
            break;
        }
    }
    return result;
}

bool usage_owner::is_usable(std::uint64_t number, instant now) const {
    const auto it = candidates_.find(number);
    return number == self_ || (it != candidates_.end() && it->second.acknowledged && !it->second.stopping &&
                               now - *it->second.acknowledged < response_timeout);
}

std::size_t usage_owner::usable_count(instant now) const {
    const auto numbers = preferred(now);
    return static_cast<std::size_t>(
        std::count_if(numbers.begin(), numbers.end(), [&](auto it) { return is_usable(it, now); }));
}

std::uint64_t usage_owner::rank(std::uint64_t number, std::size_t group) {
    const std::array<std::uint64_t, 2> pair{number, group};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

std::vector<std::uint64_t> usage_owner::holders(std::size_t group, instant now) const {
    auto result = preferred(now);
    std::erase_if(result, [&](auto it) { return !is_usable(it, now); });
    if (result.empty()) {
        return {self_};
    }
    std::sort(result.begin(), result.end(),
              [group](auto a, auto b) { return rank(a, group) > rank(b, group); });
    result.resize(std::min(result.size(), usage_portion_count));
    return result;
}

void usage_owner::assign(instant now) {
    for (std::size_t group = 0; group < usage_group_count; ++group) {
        auto wanted = holders(group, now);
        auto& portions = portions_[group];
        if (wanted.size() < portions.size()) {
            wanted.resize(portions.size(), wanted.front());
        }
        for (auto& it : portions) {
            const auto kept = std::find(wanted.begin(), wanted.end(), it.holder);
            if (kept == wanted.end()) {
                it.holder = 0;
            } else {
                wanted.erase(kept);
            }
        }
        for (auto& it : portions) {
            if (it.holder == 0) {
                it.holder = now >= it.lent_until ? wanted.front() : 0;
                wanted.erase(wanted.begin());
            }
        }
    }
}

void usage_owner::tick(usage_transport& transport, instant now) {
    const auto holders = has_lent_ ? preferred(now) : order_;
    if (now < next_pledge_) {
        for (const auto number : holders) {
            if (number != self_ && !candidates_.at(number).contacted) {
                send_pledge(number, transport, now);
            }
        }
        return;
    }
    next_pledge_ = now + pledge_interval;
    assign(now);
    for (const auto& group : portions_) {
        for (const auto& it : group) {
            if (it.holder == 0 && it.lent_until > now) {
                next_pledge_ = std::min(next_pledge_, it.lent_until);
            }
        }
    }
    send_pledge(self_, transport, now);
    // Also to candidates before the last holder that have been silent, so that they are noticed when they
    // return.
    for (const auto number : order_) {
        if (number != self_) {
            send_pledge(number, transport, now);
        }
        if (!holders.empty() && number == holders.back()) {
            break;
        }
    }
}

void usage_owner::send_pledge(std::uint64_t to, usage_transport& transport, instant now) {
    usage_pledge pledge{.nodes = holder_.node_count()};
    auto acknowledged = now;
    if (to == self_) {
        pledge.holder_run = run_;
        pledge.stamp = now.since_start().micros();
    } else {
        auto& it = candidates_.at(to);
        it.contacted = it.contacted.value_or(now);
        pledge.holder_run = it.run;
        pledge.stamp = it.stamp;
        acknowledged = it.acknowledged.value_or(now);
    }
    for (std::size_t group = 0; group < usage_group_count; ++group) {
        for (std::size_t i = 0; i < usage_portion_count; ++i) {
            auto& it = portions_[group][i];
            if (it.holder == to) {
                has_lent_ = true;
                pledge.groups[i] = static_cast<usage_group_set>(pledge.groups[i] | 1U << group);
                it.lent_until =
                    std::max(it.lent_until, acknowledged + usage_holder::pledge_lifetime + clock_margin);
            }
        }
    }
    if (to == self_) {
        holder_.on_pledge(self_, run_, pledge, now);
    } else {
        transport.send(to, {.node = self_, .run = run_, .pledge = pledge});
    }
}

void usage_owner::on_acknowledgement(std::uint64_t holder, std::uint64_t run, const usage_acknowledgement& it,
                                     instant now) {
    holder_.raise_node_count(it.nodes);
    const auto found = candidates_.find(holder);
    if (found == candidates_.end() || it.owner_run != run_) {
        return;
    }
    // An incarnation is a time of day, which may have been set back before a restart.
    auto& known = found->second;
    const bool known_responds = known.acknowledged && now - *known.acknowledged < response_timeout;
    if ((run < known.run && known_responds) || (run == known.run && it.stamp < known.stamp)) {
        return;
    }
    known.run = run;
    known.stamp = it.stamp;
    known.acknowledged = now;
    known.stopping = it.stopping;
    end_former_loans(now);
}

// A holder drops the loans of an earlier start of this node when it hears from the new one.
void usage_owner::end_former_loans(instant now) {
    if (has_lent_) {
        return;
    }
    for (const auto& [number, it] : candidates_) { // the former start may have used any of them
        if (number != self_ && !it.acknowledged) {
            return;
        }
    }
    for (auto& group : portions_) {
        for (auto& it : group) {
            it.lent_until = std::min(it.lent_until, now);
        }
    }
    next_pledge_ = now;
}

} // namespace berylcrank
