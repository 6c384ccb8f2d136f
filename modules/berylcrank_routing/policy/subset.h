#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace berylcrank {

/** An upstream as far as subsets need it. @see choose_subset */
struct subset_member {
    std::string_view upstream;
    std::string_view failure_domain;
};

/** Indexes into `all` of the `size` upstreams that the node `node` uses, in ascending order.

    Rendezvous hashing of node and upstream, taken in turn from each failure domain: the same arguments give
   the same subset, a removed upstream is replaced by one other, and a node that comes or goes changes nothing
   for the others.
*/
std::vector<std::size_t> choose_subset(std::span<const subset_member> all, std::uint64_t node,
                                       std::size_t size);

} // namespace berylcrank
