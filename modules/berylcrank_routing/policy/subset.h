#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace berylcrank {

/** The properties of an upstream that subsetting uses. @see choose_subset */
struct subset_member {
    std::string_view upstream;
    std::string_view failure_domain;
};

/** Selects the subset of `size` upstreams that a node uses.

    Upstreams are ranked by rendezvous hashing of node and upstream and taken from the failure domains in
    turn. The result is deterministic. A removed upstream is replaced by one other upstream, and the subset
    of a node does not depend on other nodes.
    @param node Identifies the node, e.g. a hash of its name.
    @return Indexes into `all` in ascending order; all of them if there are not more than `size`.
*/
std::vector<std::size_t> choose_subset(std::span<const subset_member> all, std::uint64_t node,
                                       std::size_t size);

} // namespace berylcrank
