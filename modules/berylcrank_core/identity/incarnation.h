#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace berylcrank {

/** One run of a node process: a random value drawn at each start, so a restarted node is a different one.

    @see id_minter
*/
struct incarnation {
    std::uint64_t value{0}; ///< 0 means none.

    // NOLINTNEXTLINE(modernize-use-nullptr): false report
    constexpr auto operator<=>(const incarnation&) const = default;

    /** True if this names a run. */
    [[nodiscard]] constexpr bool is_set() const { return value != 0; }

    template <typename H>
    friend H AbslHashValue(H state, const incarnation& it) {
        return H::combine(std::move(state), it.value);
    }
};

/** 16 hexadecimal digits. */
std::string to_hex(incarnation it);

} // namespace berylcrank
