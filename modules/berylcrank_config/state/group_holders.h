#pragma once

#include "modules/berylcrank_config/state/group_record.h"

#include <array>
#include <cstdint>

namespace berylcrank {

/** Holder of one group. */
struct group_holder {
    incarnation holder;       ///< Unset: none.
    std::uint64_t offset{0};  ///< Log offset of the assignment.
    bool is_hand_over{false}; ///< The holder before had stopped issuing, or there was none.

    bool operator==(const group_holder&) const = default;
};

/** Holders of all admission groups. The first assignment whose `replaces` is the current holder wins. */
class group_holders {
public:
    /** Applies one assignment; false if it lost against another one. */
    bool apply(const group_record& it, std::uint64_t offset);

    /** Keeps the later assignment of each group. */
    void merge(const group_holders& other);

    /** Sets one holder if its assignment is later. */
    void merge(std::size_t group, const group_holder& it);

    [[nodiscard]] const group_holder& of(std::size_t group) const { return holders_.at(group); }
    [[nodiscard]] const std::array<group_holder, group_count>& all() const { return holders_; }
    [[nodiscard]] std::uint64_t digest() const;

private:
    std::array<group_holder, group_count> holders_;
};

} // namespace berylcrank
