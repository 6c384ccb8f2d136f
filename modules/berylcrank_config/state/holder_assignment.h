#pragma once

#include "modules/berylcrank_core/identity/incarnation.h"

#include <cstdint>
#include <string_view>

namespace berylcrank {

/** Number of admission groups; part of the log format. */
inline constexpr std::uint32_t group_count = 64;

/** Admission group of an upstream, from a hash of its name that is the same on all nodes. */
std::uint32_t group_of(std::string_view upstream);

/** One entry of an `assignments` log record: makes a node the holder of an admission group. The first record
    whose `replaces` equals the current holder wins. @see group_holders */
struct holder_assignment {
    std::uint32_t group{0};
    incarnation holder;       ///< The new holder.
    incarnation replaces;     ///< The holder that it replaces; unset if there is none.
    bool is_hand_over{false}; ///< The replaced holder wrote this after it stopped issuing permits.

    bool operator==(const holder_assignment&) const = default;
};

} // namespace berylcrank
