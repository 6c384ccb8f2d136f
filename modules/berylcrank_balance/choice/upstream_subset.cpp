#include "modules/berylcrank_balance/choice/upstream_subset.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace berylcrank {

namespace {

// Rendezvous weight by which a cell ranks upstreams of other cells. `domain` is the hash of its failure
// domain.
std::uint64_t affinity(std::uint64_t domain, std::uint32_t index, std::uint32_t upstream) {
    const std::array<std::uint64_t, 3> key{domain, index, upstream};
    return XXH3_64bits(key.data(), sizeof(key));
}

struct ranked_upstream {
    std::uint64_t affinity;
    const upstream_ptr* it;
};

} // namespace

bool upstream_subset::is_home(const upstream& it) const {
    return peers_.is_home_cell(it.number, it.entry.failure_domain);
}

const std::vector<upstream_ptr>& upstream_subset::of_service(std::string_view service, instant now) {
    const auto& all = directory_.of_service(service);
    if (!peers_.has_multiple_cells()) {
        return all;
    }
    return current(service, now).members;
}

const std::vector<upstream_ptr>& upstream_subset::spill_of_service(std::string_view service, instant now) {
    static const std::vector<upstream_ptr> none;
    return peers_.has_multiple_cells() ? current(service, now).spill : none;
}

upstream_subset::cached_subset& upstream_subset::current(std::string_view service, instant now) {
    auto& cached = cache_[absl::string_view(service.data(), service.size())];
    if (now >= cached.valid_until) {
        cached = {.valid_until = now + lifetime};
        compute(directory_.of_service(service), cached);
    }
    return cached;
}

void upstream_subset::compute(const std::vector<upstream_ptr>& all, cached_subset& to) const {
    auto& members = to.members;
    const auto& own = peers_.own_cell();
    const auto domain = XXH3_64bits(own.failure_domain.data(), own.failure_domain.size());
    std::vector<ranked_upstream> others;
    others.reserve(all.size());
    for (const auto& it : all) {
        if (!directory_.usable(*it)) {
            continue;
        }
        if (is_home(*it)) {
            members.push_back(it);
        } else {
            others.push_back({.affinity = affinity(domain, own.index, it->number), .it = &it});
        }
    }
    const auto usable = members.size() + others.size();
    const double mean_per_cell = static_cast<double>(usable) / static_cast<double>(peers_.cell_count());
    const bool few =
        members.size() < min_size || static_cast<double>(members.size()) < min_fair_share * mean_per_cell;
    const auto wanted =
        few ? std::min(usable, std::max(min_size, static_cast<std::size_t>(std::ceil(mean_per_cell))))
            : members.size();
    const auto ranked = std::min(others.size(), wanted - members.size() + spill_size);
    std::partial_sort(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(ranked), others.end(),
                      [](const auto& a, const auto& b) { return a.affinity > b.affinity; });
    for (std::size_t i = 0; i < ranked; ++i) {
        (members.size() < wanted ? members : to.spill).push_back(*others[i].it);
    }
}

} // namespace berylcrank
