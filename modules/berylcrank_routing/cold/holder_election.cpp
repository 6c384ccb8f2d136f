#include "modules/berylcrank_routing/cold/holder_election.h"

#include <algorithm>
#include <xxhash.h>

namespace berylcrank {

namespace {

std::uint64_t weight(std::uint32_t group, incarnation node) {
    const std::array<std::uint64_t, 2> key{group, node.value};
    return XXH64(key.data(), sizeof(key), 0);
}

} // namespace

std::vector<holder_assignment> holder_election::propose(std::span<const incarnation, group_count> holders,
                                                        std::span<const incarnation> alive,
                                                        const has_ended& ended, random_source& random,
                                                        instant now) {
    std::vector<holder_assignment> records;
    for (std::uint32_t group = 0; group < group_count; ++group) {
        const auto holder = holders[group];
        auto& entry = vacancies_.at(group);
        if (holder == options_.self || (holder.is_set() && !ended(holder))) {
            entry = {};
            continue;
        }
        if (!entry.is_vacant || entry.replaces != holder) {
            entry = {.is_vacant = true,
                     .replaces = holder,
                     .detected_at = now,
                     .jitter = options_.jitter * random.unit()};
        }
        const auto own_rank = rank(group, options_.self, alive);
        const auto due =
            entry.detected_at + options_.step * static_cast<double>(own_rank.value_or(0)) + entry.jitter;
        const bool is_waiting = entry.proposed_at && now - *entry.proposed_at < options_.retry;
        if (own_rank && now >= due && !is_waiting && records.size() < options_.burst) {
            entry.proposed_at = now;
            records.push_back({.group = group, .holder = options_.self, .replaces = holder});
        }
    }
    return records;
}

std::vector<holder_assignment> holder_election::hand_over(std::span<const incarnation, group_count> holders,
                                                          std::span<const incarnation> alive) const {
    std::vector<incarnation> others(alive.begin(), alive.end());
    std::erase(others, options_.self);
    std::vector<holder_assignment> records;
    for (std::uint32_t group = 0; group < group_count; ++group) {
        if (holders[group] != options_.self || others.empty()) {
            continue;
        }
        const auto best = std::ranges::max(others, {}, [&](incarnation node) { return weight(group, node); });
        records.push_back({.group = group, .holder = best, .replaces = options_.self, .is_hand_over = true});
    }
    return records;
}

std::optional<std::size_t> holder_election::rank(std::uint32_t group, incarnation node,
                                                 std::span<const incarnation> alive) {
    if (std::ranges::find(alive, node) == alive.end()) {
        return std::nullopt;
    }
    const auto own_weight = weight(group, node);
    return static_cast<std::size_t>(
        std::ranges::count_if(alive, [&](incarnation other) { return weight(group, other) > own_weight; }));
}

} // namespace berylcrank
