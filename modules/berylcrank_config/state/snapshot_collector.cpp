#include "modules/berylcrank_config/state/snapshot_collector.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::size_t most_assemblies = 8;
constexpr std::size_t most_bytes = 64U << 20U;
constexpr std::uint16_t most_parts = 1024;

} // namespace

std::optional<std::string> snapshot_collector::add(const snapshot_part& part, std::uint64_t offset,
                                                   bool keep_content) {
    if (part.count > most_parts || part.index >= part.count || part.applied > offset) {
        return std::nullopt;
    }
    make_room(keep_content ? part.content.size() : 0);
    auto& it = find_or_add(part, offset);
    if (it.has_part.size() != part.count || it.applied != part.applied || it.has_part[part.index]) {
        return std::nullopt;
    }
    it.has_part[part.index] = true;
    it.last_offset = offset;
    --it.missing;
    if (keep_content) {
        it.contents[part.index] = part.content;
        it.bytes += part.content.size();
    } else {
        it.has_content = false;
    }
    if (it.missing > 0) {
        return std::nullopt;
    }
    auto out = complete(it);
    std::erase_if(assemblies_, [&](const auto& a) { return a.id == part.id; });
    return out;
}

snapshot_collector::assembly& snapshot_collector::find_or_add(const snapshot_part& part,
                                                              std::uint64_t offset) {
    const auto at = std::find_if(assemblies_.begin(), assemblies_.end(),
                                 [&](const auto& it) { return it.id == part.id; });
    if (at != assemblies_.end()) {
        return *at;
    }
    return assemblies_.emplace_back(assembly{.id = part.id,
                                             .applied = part.applied,
                                             .first_offset = offset,
                                             .last_offset = offset,
                                             .has_part = std::vector<bool>(part.count),
                                             .contents = std::vector<std::string>(part.count),
                                             .missing = part.count});
}

void snapshot_collector::make_room(std::size_t bytes) {
    std::size_t held = bytes;
    for (const auto& it : assemblies_) {
        held += it.bytes;
    }
    while (!assemblies_.empty() && (assemblies_.size() >= most_assemblies || held > most_bytes)) {
        const auto oldest =
            std::min_element(assemblies_.begin(), assemblies_.end(),
                             [](const auto& a, const auto& b) { return a.last_offset < b.last_offset; });
        held -= oldest->bytes;
        assemblies_.erase(oldest);
    }
}

std::optional<std::string> snapshot_collector::complete(const assembly& it) {
    if (!newest_ || it.applied >= newest_->applied) {
        newest_ = {.applied = it.applied, .first_offset = it.first_offset, .last_offset = it.last_offset};
    }
    if (!it.has_content) {
        return std::nullopt;
    }
    std::string out;
    out.reserve(it.bytes);
    for (const auto& content : it.contents) {
        out += content;
    }
    return out;
}

} // namespace berylcrank
