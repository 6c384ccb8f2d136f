#pragma once

#include <algorithm>
#include <cstdint>

namespace berylcrank {

/** Which log offsets a configuration state or peer delta includes.

    Offsets from `first` to `certain` are included without exception. Between `certain` and `end` some were
    passed over as trimmed, so what was decided there may differ from what other nodes decided. A state starts
    at offset 0, a delta at the offset that the receiver had reached.
*/
struct coverage {
    std::uint64_t first{0};
    std::uint64_t certain{0}; ///< End of the offsets that are included without exception.
    std::uint64_t end{0};     ///< End of all offsets that are included or passed over.

    /** True if the record at `offset` is included and was decided with all earlier ones known. */
    [[nodiscard]] bool is_certain(std::uint64_t offset) const { return first <= offset && offset < certain; }

    /** True if records were passed over. */
    [[nodiscard]] bool has_gap() const { return certain < end; }

    /** Extends to `to`, the offset after the next record. */
    void extend(std::uint64_t to) {
        if (!has_gap()) {
            certain = to;
        }
        end = to;
    }

    /** What two contents include together. */
    [[nodiscard]] coverage joined(const coverage& other) const {
        coverage out = *this;
        if (other.first <= certain && first <= other.certain) {
            out.first = std::min(first, other.first);
            out.certain = std::max(certain, other.certain);
        }
        out.end = std::max(end, other.end);
        return out;
    }

    bool operator==(const coverage&) const = default;
};

/** Whether the entry `own` of a state is still right when another state has `other` for the same thing; null
   means that it has none. It is not if the other state has certainly seen it replaced. Used by joins for
   objects, outcomes and holders alike. */
template <typename Entry>
bool survives(const Entry& own, const Entry* other, const coverage& other_coverage) {
    if (!other_coverage.is_certain(own.offset)) {
        return true;
    }
    return other != nullptr && (other->offset == own.offset || !other_coverage.is_certain(other->offset));
}

} // namespace berylcrank
