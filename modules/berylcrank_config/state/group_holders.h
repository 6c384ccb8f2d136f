#pragma once

#include "modules/berylcrank_config/state/coverage.h"
#include "modules/berylcrank_config/state/holder_assignment.h"

#include <array>
#include <cstdint>

namespace berylcrank {

/** The node that issues permits for one admission group. */
struct group_holder {
    incarnation holder;       ///< Unset if the group has no holder.
    std::uint64_t offset{0};  ///< Log offset of the assignment.
    bool is_hand_over{false}; ///< The previous holder had stopped issuing permits.
    bool is_first{false};     ///< The group certainly had no holder before.

    bool operator==(const group_holder&) const = default;
};

/** Holders of all admission groups. An assignment takes effect only if its `replaces` is the current holder,
    so the first of several concurrent ones wins. */
class group_holders {
public:
    /** Applies one assignment. After a gap in the log an unknown holder may exist, so `is_first` stays false.
        @returns false if `replaces` is not the current holder.
    */
    bool apply(const holder_assignment& assignment, std::uint64_t offset, bool has_gap);

    /** Keeps the later assignment of each group. Drops an assignment that the other side saw replaced.
        @see survives
    */
    void merge(const group_holders& other, const coverage& own_coverage, const coverage& other_coverage);

    /** Sets a holder unconditionally. */
    void set(std::size_t group, const group_holder& holder) { holders_.at(group) = holder; }

    [[nodiscard]] const group_holder& of(std::size_t group) const { return holders_.at(group); }
    [[nodiscard]] const std::array<group_holder, group_count>& all() const { return holders_; }
    [[nodiscard]] std::uint64_t digest() const;

private:
    std::array<group_holder, group_count> holders_;
};

} // namespace berylcrank
