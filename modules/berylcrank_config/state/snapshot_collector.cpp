#include "modules/berylcrank_config/state/snapshot_collector.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::size_t max_partial_snapshots = 8;
constexpr std::size_t max_total_bytes = 64U << 20U;
constexpr std::uint16_t max_parts = 1024;

} // namespace

std::optional<std::string> snapshot_collector::add(const snapshot_part& part, std::uint64_t offset,
                                                   bool keep_content) {
    if (part.count > max_parts || part.index >= part.count || part.applied > offset) {
        return std::nullopt;
    }
    evict_oldest(keep_content ? part.content.size() : 0);
    auto& snapshot = find_or_add(part, offset);
    if (snapshot.has_part.size() != part.count || snapshot.applied != part.applied ||
        snapshot.has_part[part.index]) {
        return std::nullopt;
    }
    snapshot.has_part[part.index] = true;
    snapshot.last_offset = offset;
    --snapshot.missing_parts;
    if (keep_content) {
        snapshot.contents[part.index] = part.content;
        snapshot.bytes += part.content.size();
    } else {
        snapshot.has_content = false;
    }
    if (snapshot.missing_parts > 0) {
        return std::nullopt;
    }
    auto out = complete(snapshot);
    std::erase_if(partial_snapshots_, [&](const auto& a) { return a.id == part.id; });
    return out;
}

snapshot_collector::partial_snapshot& snapshot_collector::find_or_add(const snapshot_part& part,
                                                                      std::uint64_t offset) {
    const auto at = std::find_if(partial_snapshots_.begin(), partial_snapshots_.end(),
                                 [&](const auto& snapshot) { return snapshot.id == part.id; });
    if (at != partial_snapshots_.end()) {
        return *at;
    }
    return partial_snapshots_.emplace_back(partial_snapshot{.id = part.id,
                                                            .applied = part.applied,
                                                            .first_offset = offset,
                                                            .last_offset = offset,
                                                            .has_part = std::vector<bool>(part.count),
                                                            .contents = std::vector<std::string>(part.count),
                                                            .missing_parts = part.count});
}

void snapshot_collector::evict_oldest(std::size_t added_bytes) {
    std::size_t total_bytes = added_bytes;
    for (const auto& snapshot : partial_snapshots_) {
        total_bytes += snapshot.bytes;
    }
    while (!partial_snapshots_.empty() &&
           (partial_snapshots_.size() >= max_partial_snapshots || total_bytes > max_total_bytes)) {
        const auto oldest =
            std::min_element(partial_snapshots_.begin(), partial_snapshots_.end(),
                             [](const auto& a, const auto& b) { return a.last_offset < b.last_offset; });
        total_bytes -= oldest->bytes;
        partial_snapshots_.erase(oldest);
    }
}

std::optional<std::string> snapshot_collector::complete(const partial_snapshot& snapshot) {
    if (!newest_ || snapshot.applied >= newest_->applied) {
        newest_ = {.applied = snapshot.applied,
                   .first_offset = snapshot.first_offset,
                   .last_offset = snapshot.last_offset};
    }
    if (!snapshot.has_content) {
        return std::nullopt;
    }
    std::string out;
    out.reserve(snapshot.bytes);
    for (const auto& content : snapshot.contents) {
        out += content;
    }
    return out;
}

} // namespace berylcrank
