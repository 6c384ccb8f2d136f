#pragma once

#include "modules/berylcrank_core/identity/incarnation.h"

#include <cstdint>
#include <string_view>

namespace berylcrank {

/** Number of admission groups; part of the log's format. */
inline constexpr std::uint32_t group_count = 64;

/** Admission group of an upstream, from a hash of its name that is the same on all nodes. */
std::uint32_t group_of(std::string_view upstream);

/** Content of an `assign` record of the log: one request to make a node the holder of a group. The first
   record whose `replaces` equals the holder in force wins. @see group_holders */
struct holder_assignment {
    std::uint32_t group{0};
    incarnation holder;       ///< Becomes the holder.
    incarnation replaces;     ///< The holder that it replaces; unset if there is none.
    bool is_hand_over{false}; ///< Written by the replaced holder itself after it stopped issuing permits.

    bool operator==(const holder_assignment&) const = default;
};

} // namespace berylcrank
