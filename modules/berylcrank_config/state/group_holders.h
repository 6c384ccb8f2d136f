#pragma once

#include "modules/berylcrank_config/state/coverage.h"
#include "modules/berylcrank_config/state/holder_assignment.h"

#include <array>
#include <cstdint>

namespace berylcrank {

/** Holder of one group. */
struct group_holder {
    incarnation holder;       ///< Unset: none.
    std::uint64_t offset{0};  ///< Log offset of the assignment.
    bool is_hand_over{false}; ///< The holder before had stopped issuing permits.
    bool is_first{false};     ///< There was no holder before, for sure.

    bool operator==(const group_holder&) const = default;
};

/** Holders of all admission groups. The first assignment whose `replaces` is the current holder wins. */
class group_holders {
public:
    /** Applies one assignment; false if it lost against another one. With a gap in the log an unknown holder
       may exist, so nobody counts as the first one. */
    bool apply(const holder_assignment& it, std::uint64_t offset, bool has_gap);

    /** Keeps the later assignment of each group, without those that one side has certainly seen replaced. */
    void merge(const group_holders& other, const coverage& own_coverage, const coverage& other_coverage);

    /** Sets a holder, whatever was there. */
    void set(std::size_t group, const group_holder& it) { holders_.at(group) = it; }

    [[nodiscard]] const group_holder& of(std::size_t group) const { return holders_.at(group); }
    [[nodiscard]] const std::array<group_holder, group_count>& all() const { return holders_; }
    [[nodiscard]] std::uint64_t digest() const;

private:
    std::array<group_holder, group_count> holders_;
};

} // namespace berylcrank
