#include "modules/berylcrank_config/state/group_holders.h"

#include "modules/berylcrank_config/ticket/canonical_bytes.h"

namespace berylcrank {

std::uint32_t group_of(std::string_view upstream) {
    return static_cast<std::uint32_t>(XXH3_64bits(upstream.data(), upstream.size()) % group_count);
}

bool group_holders::apply(const holder_assignment& assignment, std::uint64_t offset, bool has_gap) {
    auto& current = holders_.at(assignment.group);
    if (current.holder != assignment.replaces) {
        return false;
    }
    current = {.holder = assignment.holder,
               .offset = offset,
               .is_hand_over = assignment.is_hand_over,
               .is_first = !assignment.replaces.is_set() && !has_gap};
    return true;
}

void group_holders::merge(const group_holders& other, const coverage& own_coverage,
                          const coverage& other_coverage) {
    for (std::size_t i = 0; i < group_count; ++i) {
        auto& own = holders_[i];
        const auto& theirs = other.holders_[i];
        if (!theirs.holder.is_set()) {
            continue;
        }
        if (!own.holder.is_set()) {
            own = theirs;
            continue;
        }
        const bool own_survives = survives(own, &theirs, other_coverage);
        const bool other_survives = survives(theirs, &own, own_coverage);
        // Equal offsets with different holders occur only in states with a gap. Comparing the holders
        // makes the order total there too.
        const bool later =
            theirs.offset != own.offset ? theirs.offset > own.offset : theirs.holder > own.holder;
        if (own_survives == other_survives ? later : other_survives) {
            own = theirs;
        }
    }
}

std::uint64_t group_holders::digest() const {
    canonical_bytes bytes;
    for (const auto& entry : holders_) {
        bytes.add(entry.holder.value).add(entry.offset);
    }
    return bytes.digest();
}

} // namespace berylcrank
