#include "modules/berylcrank_config/state/offset_ranges.h"

#include <algorithm>

namespace berylcrank {

void offset_ranges::add(std::uint64_t first, std::uint64_t end) {
    if (first >= end) {
        return;
    }
    auto it = std::find_if(list_.begin(), list_.end(), [&](const auto& range) { return range.end >= first; });
    const auto from = it;
    while (it != list_.end() && it->first <= end) {
        first = std::min(first, it->first);
        end = std::max(end, it->end);
        ++it;
    }
    list_.insert(list_.erase(from, it), offset_range{first, end});
}

void offset_ranges::add(const offset_ranges& other) {
    for (const auto& it : other.list_) {
        add(it.first, it.end);
    }
}

bool offset_ranges::contains(std::uint64_t offset) const {
    return std::any_of(list_.begin(), list_.end(),
                       [&](const auto& it) { return it.first <= offset && offset < it.end; });
}

bool offset_ranges::contains(const offset_ranges& other) const {
    return std::all_of(other.list_.begin(), other.list_.end(), [&](const auto& inner) {
        return std::any_of(list_.begin(), list_.end(),
                           [&](const auto& it) { return it.first <= inner.first && inner.end <= it.end; });
    });
}

} // namespace berylcrank
