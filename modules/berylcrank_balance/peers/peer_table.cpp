#include "modules/berylcrank_balance/peers/peer_table.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace berylcrank {

std::uint64_t node_number(const node_info& it) {
    const auto text = it.name + '/' + it.ip;
    return XXH3_64bits(text.data(), text.size());
}

bool peer_table::learn(const node_info& it, instant now) {
    const auto number = node_number(it);
    if (number == self_number_ || peers_.contains(number)) {
        return false;
    }
    peers_[number] = {.info = it, .number = number, .added = now};
    return true;
}

bool peer_table::heard(const node_info& it, bool ready, instant now) {
    const auto number = node_number(it);
    if (number == self_number_) {
        return false;
    }
    auto& held = peers_[number];
    const bool fresh = !held.ever_heard || held.info.incarnation != it.incarnation;
    held.info = it;
    held.number = number;
    held.heard = now;
    held.ever_heard = true;
    held.ready = ready;
    return fresh;
}

bool peer_table::alive(std::uint64_t number, std::uint64_t incarnation, bool ready, instant now) {
    const auto it = peers_.find(number);
    if (it == peers_.end() || it->second.info.incarnation != incarnation) {
        return false;
    }
    it->second.heard = now;
    it->second.ever_heard = true;
    it->second.ready = ready;
    return true;
}

std::vector<std::uint64_t> peer_table::expire(instant now) {
    std::vector<std::uint64_t> turned_silent;
    std::vector<std::uint64_t> gone;
    std::size_t live_count = 1;
    for (const auto& [number, it] : peers_) {
        const bool live = is_live(it, now);
        live_count += live ? 1 : 0;
        auto& was = was_live_[number];
        if (was && !live) {
            turned_silent.push_back(number);
        }
        was = live;
        if ((!it.ever_heard && now - it.added > unheard) || (it.ever_heard && now - it.heard > forgotten)) {
            gone.push_back(number);
        }
    }
    for (const auto number : gone) {
        peers_.erase(number);
        was_live_.erase(number);
    }
    most_seen_ = std::max(most_seen_, live_count);
    return turned_silent;
}

const peer* peer_table::find(std::uint64_t number) const {
    const auto it = peers_.find(number);
    return it == peers_.end() ? nullptr : &it->second;
}

std::vector<const peer*> peer_table::live(instant now) const {
    std::vector<const peer*> result;
    for (const auto& [number, it] : peers_) {
        if (is_live(it, now)) {
            result.push_back(&it);
        }
    }
    return result;
}

std::vector<const peer*> peer_table::all() const {
    std::vector<const peer*> result;
    for (const auto& [number, it] : peers_) {
        result.push_back(&it);
    }
    return result;
}

std::size_t peer_table::rank(instant now) const {
    std::size_t n = 0;
    for (const auto& [number, it] : peers_) {
        n += is_live(it, now) && number < self_number_ ? 1 : 0;
    }
    return n;
}

bool peer_table::owns(std::uint64_t key, instant now) const {
    const auto weight = [key](std::uint64_t number) {
        const std::array<std::uint64_t, 2> pair{number, key};
        return XXH3_64bits(pair.data(), sizeof(pair));
    };
    const auto own = weight(self_number_);
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto& it) {
        return it.second.ready && is_live(it.second, now) && weight(it.first) > own;
    });
}

} // namespace berylcrank
