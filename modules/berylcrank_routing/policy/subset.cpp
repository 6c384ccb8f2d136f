#include "modules/berylcrank_routing/policy/subset.h"

#include "absl/container/btree_map.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace berylcrank {

std::vector<std::size_t> choose_subset(std::span<const subset_member> all, std::uint64_t node,
                                       std::size_t size) {
    std::vector<std::size_t> chosen;
    if (all.size() <= size) {
        chosen.resize(all.size());
        std::iota(chosen.begin(), chosen.end(), 0);
        return chosen;
    }
    using ranked_upstream = std::pair<std::uint64_t, std::size_t>; // hash, index
    absl::btree_map<std::string_view, std::vector<ranked_upstream>> domains;
    for (std::size_t n = 0; n < all.size(); ++n) {
        const auto hash = XXH3_64bits_withSeed(all[n].upstream.data(), all[n].upstream.size(), node);
        domains[all[n].failure_domain].emplace_back(hash, n);
    }
    // The first domains in this order provide one upstream more if `size` cannot be divided evenly.
    std::vector<std::pair<std::uint64_t, std::vector<ranked_upstream>*>> domain_order;
    for (auto& [name, members] : domains) {
        std::ranges::sort(members);
        domain_order.emplace_back(XXH3_64bits_withSeed(name.data(), name.size(), node), &members);
    }
    std::ranges::sort(domain_order);
    for (std::size_t round = 0; chosen.size() < size; ++round) {
        for (const auto& [hash, members] : domain_order) {
            if (round < members->size() && chosen.size() < size) {
                chosen.push_back((*members)[round].second);
            }
        }
    }
    std::ranges::sort(chosen);
    return chosen;
}

} // namespace berylcrank
