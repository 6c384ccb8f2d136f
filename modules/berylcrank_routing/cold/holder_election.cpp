#include "modules/berylcrank_routing/cold/holder_election.h"

#include <algorithm>
#include <xxhash.h>

namespace berylcrank {

namespace {

std::uint64_t weight(std::uint32_t group, incarnation who) {
    const std::array<std::uint64_t, 2> key{group, who.value};
    return XXH64(key.data(), sizeof(key), 0);
}

} // namespace

std::vector<group_record> holder_election::propose(std::span<const incarnation, group_count> holders,
                                                   std::span<const incarnation> alive, const has_ended& ended,
                                                   random_source& random, instant now) {
    std::vector<group_record> out;
    for (std::uint32_t group = 0; group < group_count; ++group) {
        const auto holder = holders[group];
        auto& it = vacancies_.at(group);
        if (holder == options_.self || (holder.is_set() && !ended(holder))) {
            it = {};
            continue;
        }
        if (!it.is_vacant || it.replaces != holder) {
            it = {.is_vacant = true,
                  .replaces = holder,
                  .noticed = now,
                  .jitter = options_.jitter * random.unit()};
        }
        const auto own = rank(group, options_.self, alive);
        const auto due = it.noticed + options_.step * static_cast<double>(own.value_or(0)) + it.jitter;
        const bool is_waiting = it.proposed && now - *it.proposed < options_.retry;
        if (own && now >= due && !is_waiting && out.size() < options_.burst) {
            it.proposed = now;
            out.push_back({.group = group, .holder = options_.self, .replaces = holder});
        }
    }
    return out;
}

std::vector<group_record> holder_election::hand_over(std::span<const incarnation, group_count> holders,
                                                     std::span<const incarnation> alive) const {
    std::vector<incarnation> others(alive.begin(), alive.end());
    std::erase(others, options_.self);
    std::vector<group_record> out;
    for (std::uint32_t group = 0; group < group_count; ++group) {
        if (holders[group] != options_.self || others.empty()) {
            continue;
        }
        const auto best = std::ranges::max(others, {}, [&](incarnation it) { return weight(group, it); });
        out.push_back({.group = group, .holder = best, .replaces = options_.self, .is_hand_over = true});
    }
    return out;
}

std::optional<std::size_t> holder_election::rank(std::uint32_t group, incarnation who,
                                                 std::span<const incarnation> alive) {
    if (std::ranges::find(alive, who) == alive.end()) {
        return std::nullopt;
    }
    const auto own = weight(group, who);
    return static_cast<std::size_t>(
        std::ranges::count_if(alive, [&](incarnation it) { return weight(group, it) > own; }));
}

} // namespace berylcrank
