#include "modules/berylcrank_routing/cold/warm_tracker.h"

#include <algorithm>

namespace berylcrank {

namespace {
constexpr std::size_t max_incarnations = 4; // Usually there is one; two around a restart.
}

warm_tracker::entry& warm_tracker::find_or_add(std::string_view upstream_incarnation) {
    const auto it = std::ranges::find(entries_, upstream_incarnation, &entry::upstream_incarnation);
    if (it != entries_.end()) {
        return *it;
    }
    if (entries_.size() == max_incarnations) {
        entries_.erase(entries_.begin());
    }
    return entries_.emplace_back(entry{std::string(upstream_incarnation)});
}

warm_tracker::change warm_tracker::on_success(std::string_view upstream_incarnation,
                                              std::uint32_t warm_requests) {
    if (upstream_incarnation.empty()) {
        return change::none;
    }
    auto& tracked = find_or_add(upstream_incarnation);
    if (tracked.warm || ++tracked.successes < warm_requests) {
        return change::none;
    }
    tracked.warm = true;
    return change::became_warm;
}

warm_tracker::change warm_tracker::on_cold_report(std::string_view upstream_incarnation) {
    if (upstream_incarnation.empty()) {
        return change::none;
    }
    auto& tracked = find_or_add(upstream_incarnation);
    tracked.successes = 0;
    if (!tracked.warm) {
        return change::none;
    }
    tracked.warm = false;
    return change::became_cold;
}

warm_tracker::change warm_tracker::mark_warm(std::string_view upstream_incarnation) {
    if (upstream_incarnation.empty()) {
        return change::none;
    }
    auto& tracked = find_or_add(upstream_incarnation);
    if (tracked.warm) {
        return change::none;
    }
    tracked.warm = true;
    return change::became_warm;
}

bool warm_tracker::is_warm(std::string_view upstream_incarnation) const {
    const auto it = std::ranges::find(entries_, upstream_incarnation, &entry::upstream_incarnation);
    return it != entries_.end() && it->warm;
}

} // namespace berylcrank
