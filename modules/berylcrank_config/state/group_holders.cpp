#include "modules/berylcrank_config/state/group_holders.h"

#include "modules/berylcrank_config/ticket/canonical_bytes.h"

namespace berylcrank {

std::uint32_t group_of(std::string_view upstream) {
    return static_cast<std::uint32_t>(XXH3_64bits(upstream.data(), upstream.size()) % group_count);
}

bool group_holders::apply(const group_record& it, std::uint64_t offset) {
    auto& current = holders_.at(it.group);
    if (current.holder != it.replaces) {
        return false;
    }
    current = {
        .holder = it.holder, .offset = offset, .is_hand_over = it.is_hand_over || !it.replaces.is_set()};
    return true;
}

void group_holders::merge(const group_holders& other) {
    for (std::size_t i = 0; i < group_count; ++i) {
        merge(i, other.holders_[i]);
    }
}

void group_holders::merge(std::size_t group, const group_holder& it) {
    auto& current = holders_.at(group);
    // Equal offsets with other holders can only come from states with a gap; the order must still be total.
    const bool later = it.offset != current.offset ? it.offset > current.offset : it.holder > current.holder;
    if (it.holder.is_set() && (!current.holder.is_set() || later)) {
        current = it;
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
