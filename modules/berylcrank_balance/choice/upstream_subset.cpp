#include "modules/berylcrank_balance/choice/upstream_subset.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace berylcrank {

namespace {

std::uint64_t affinity(const cell& own, std::uint32_t upstream) {
    const auto domain = XXH3_64bits(own.failure_domain.data(), own.failure_domain.size());
    const std::array<std::uint64_t, 3> key{domain, own.index, upstream};
    return XXH3_64bits(key.data(), sizeof(key));
}

} // namespace

bool upstream_subset::is_home(const upstream& it) const {
    return peers_.home_cell(it.number, it.entry.failure_domain) == peers_.own_cell();
}

const std::vector<upstream_ptr>& upstream_subset::of_service(std::string_view service, instant now) {
    const auto& all = directory_.of_service(service);
    if (!peers_.many_cells()) {
        return all;
    }
    return current(service, now).members;
}

const std::vector<upstream_ptr>& upstream_subset::spill_of_service(std::string_view service, instant now) {
    static const std::vector<upstream_ptr> none;
    return peers_.many_cells() ? current(service, now).spill : none;
}

upstream_subset::held_subset& upstream_subset::current(std::string_view service, instant now) {
    auto& held = held_[absl::string_view(service.data(), service.size())];
    if (now >= held.until) {
        held = {.until = now + lifetime};
        compute(directory_.of_service(service), held);
    }
    return held;
}

void upstream_subset::compute(const std::vector<upstream_ptr>& all, held_subset& to) const {
    auto& members = to.members;
    std::vector<upstream_ptr> others;
    for (const auto& it : all) {
        if (directory_.usable(*it)) {
            (is_home(*it) ? members : others).push_back(it);
        }
    }
    std::sort(others.begin(), others.end(), [this](const auto& a, const auto& b) {
        return affinity(peers_.own_cell(), a->number) > affinity(peers_.own_cell(), b->number);
    });
    const auto usable = members.size() + others.size();
    const double fair = static_cast<double>(usable) / static_cast<double>(peers_.cell_count());
    const bool few = members.size() < fewest || static_cast<double>(members.size()) < enough * fair;
    const auto wanted =
        few ? std::min(usable, std::max(fewest, static_cast<std::size_t>(std::ceil(fair)))) : members.size();
    for (const auto& it : others) {
        if (members.size() < wanted) {
            members.push_back(it);
        } else if (to.spill.size() < spill_size) {
            to.spill.push_back(it);
        }
    }
}

} // namespace berylcrank
