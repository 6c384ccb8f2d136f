#pragma once

#include <cstdint>
#include <string_view>

namespace berylcrank {

/** Number of admission groups; part of the log's format. */
inline constexpr std::uint32_t group_count = 64;

/** Admission group of an upstream, the same on all nodes. @see group_assignment */
std::uint32_t group_of(std::string_view upstream);

} // namespace berylcrank
