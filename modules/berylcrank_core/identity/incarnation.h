#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace berylcrank {

/** Identifies one run of a node process. The value is random at each start, so a restarted node has a
    different incarnation.

    @see id_minter
*/
struct incarnation {
    std::uint64_t value{0}; ///< 0: not set.

    // NOLINTNEXTLINE(modernize-use-nullptr): false report
    constexpr auto operator<=>(const incarnation&) const = default;

    /** Returns true if the value is not 0. */
    [[nodiscard]] constexpr bool is_set() const { return value != 0; }

    template <typename H>
    friend H AbslHashValue(H state, const incarnation& run) {
        return H::combine(std::move(state), run.value);
    }
};

/** Formats an incarnation as 16 hexadecimal digits. */
std::string to_hex(incarnation run);

} // namespace berylcrank
