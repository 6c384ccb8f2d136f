#pragma once

#include "modules/berylcrank_core/identity/incarnation.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace berylcrank {

/** Number of admission groups. */
inline constexpr std::size_t group_count = 64;

/** Group of an upstream, from a hash of its name that is the same on every node. */
std::size_t group_of(std::string_view upstream);

/** One request to make a node the holder of a group. @see group_holders */
struct group_assignment {
    std::uint16_t group{0};
    incarnation holder;   ///< Becomes the holder.
    incarnation replaces; ///< The holder that it replaces; unset if there is none.

    bool operator==(const group_assignment&) const = default;
};

/** Holder of one group. */
struct group_holder {
    incarnation holder;      ///< Unset: none.
    std::uint64_t offset{0}; ///< Log offset of the assignment.

    bool operator==(const group_holder&) const = default;
};

/** Holders of all admission groups. The first assignment whose `replaces` is the current holder wins. */
class group_holders {
public:
    /** Applies one assignment; false if it lost against another one. */
    bool apply(const group_assignment& it, std::uint64_t offset);

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
