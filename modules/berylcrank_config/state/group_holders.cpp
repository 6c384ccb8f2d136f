#include "modules/berylcrank_config/state/group_holders.h"

#include "modules/berylcrank_config/ticket/canonical_bytes.h"

namespace berylcrank {

std::uint32_t group_of(std::string_view upstream) {
    return static_cast<std::uint32_t>(XXH3_64bits(upstream.data(), upstream.size()) % group_count);
}

bool group_holders::apply(const holder_assignment& it, std::uint64_t offset, bool has_gap) {
    auto& current = holders_.at(it.group);
    if (current.holder != it.replaces) {
        return false;
    }
    current = {.holder = it.holder,
               .offset = offset,
               .is_hand_over = it.is_hand_over,
               .is_first = !it.replaces.is_set() && !has_gap};
    return true;
}

void group_holders::merge(const group_holders& other, const coverage& own_coverage,
                          const coverage& other_coverage) {
    for (std::size_t i = 0; i < group_count; ++i) {
        auto& own = holders_[i];
        const auto& it = other.holders_[i];
        if (!it.holder.is_set()) {
            continue;
        }
        if (!own.holder.is_set()) {
            own = it;
            continue;
        }
        const bool own_survives = survives(own, &it, other_coverage);
        const bool other_survives = survives(it, &own, own_coverage);
        // Equal offsets with other holders can only come from states with a gap; the order must still be
        // total.
        const bool later = it.offset != own.offset ? it.offset > own.offset : it.holder > own.holder;
        if (own_survives == other_survives ? later : other_survives) {
            own = it;
        }
    }
}

std::uint64_t group_holders::digest() const {
    canonical_bytes bytes;
    for (const auto& it : holders_) {
        bytes.add(it.holder.value).add(it.offset);
    }
    return bytes.digest();
}

} // namespace berylcrank
