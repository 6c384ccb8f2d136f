#include "modules/berylcrank_routing/cold/warm_tracker.h"

#include <algorithm>

namespace berylcrank {

namespace {
constexpr std::size_t max_incarnations = 4; // One is usual; answers of two cross at a restart.
}

warm_tracker::entry& warm_tracker::find(std::string_view upstream_incarnation) {
    const auto it = std::ranges::find(entries_, upstream_incarnation, &entry::upstream_incarnation);
    if (it != entries_.end()) {
        return *it;
    }
    if (entries_.size() == max_incarnations) {
        entries_.erase(entries_.begin());
    }
    return entries_.emplace_back(entry{std::string(upstream_incarnation)});
}

warm_tracker::change warm_tracker::good(std::string_view upstream_incarnation, std::uint32_t warm_requests) {
    if (upstream_incarnation.empty()) {
        return change::none;
    }
    auto& it = find(upstream_incarnation);
    if (it.warm || ++it.good < warm_requests) {
        return change::none;
    }
    it.warm = true;
    return change::became_warm;
}

warm_tracker::change warm_tracker::cold(std::string_view upstream_incarnation) {
    if (upstream_incarnation.empty()) {
        return change::none;
    }
    auto& it = find(upstream_incarnation);
    it.good = 0;
    if (!it.warm) {
        return change::none;
    }
    it.warm = false;
    return change::became_cold;
}

warm_tracker::change warm_tracker::mark_warm(std::string_view upstream_incarnation) {
    if (upstream_incarnation.empty()) {
        return change::none;
    }
    auto& it = find(upstream_incarnation);
    if (it.warm) {
        return change::none;
    }
    it.warm = true;
    return change::became_warm;
}

bool warm_tracker::is_warm(std::string_view upstream_incarnation) const {
    const auto it = std::ranges::find(entries_, upstream_incarnation, &entry::upstream_incarnation);
    return it != entries_.end() && it->warm;
}

} // namespace berylcrank
