#pragma once

#include <algorithm>
#include <cstdint>

namespace berylcrank {

/** Which log offsets a configuration state or peer delta includes.

    Every record from `first` up to `contiguous_end` is included. Some records between `contiguous_end` and
    `end` were trimmed from the log before this node read them, so its decisions on records in that range may
    differ from those of other nodes. A state starts at offset 0, a delta at the offset that the receiver had
    reached. schema/record.capnp stores `contiguous_end` as `certain`.
*/
struct coverage {
    std::uint64_t first{0};          ///< First offset of the range.
    std::uint64_t contiguous_end{0}; ///< End of the range without gaps.
    std::uint64_t end{0};            ///< End of all offsets that are included or skipped.

    /** True if the record at `offset` and all earlier ones from `first` on are included. */
    [[nodiscard]] bool in_contiguous_range(std::uint64_t offset) const {
        return first <= offset && offset < contiguous_end;
    }

    /** True if records were skipped. */
    [[nodiscard]] bool has_gap() const { return contiguous_end < end; }

    /** Extends the range to `to`, one past the offset of the next record. */
    void extend(std::uint64_t to) {
        if (!has_gap()) {
            contiguous_end = to;
        }
        end = to;
    }

    /** Coverage of the merge of two states. */
    [[nodiscard]] coverage merged(const coverage& other) const {
        coverage out = *this;
        if (other.first <= contiguous_end && first <= other.contiguous_end) {
            out.first = std::min(first, other.first);
            out.contiguous_end = std::max(contiguous_end, other.contiguous_end);
        }
        out.end = std::max(end, other.end);
        return out;
    }

    bool operator==(const coverage&) const = default;
};

/** True if the entry `own` of a state stays valid in a merge with another state, whose entry for the same key
    is `other`; null if it has none.

    The entry is no longer valid if the other state includes its record and all earlier ones, but has no entry
    or an entry from a different offset in its contiguous range: the other state then saw `own` rejected or
    replaced. Merges of objects and holders use this function; merges of outcomes follow the same rule.
*/
template <typename Entry>
bool survives(const Entry& own, const Entry* other, const coverage& other_coverage) {
    if (!other_coverage.in_contiguous_range(own.offset)) {
        return true;
    }
    return other != nullptr &&
           (other->offset == own.offset || !other_coverage.in_contiguous_range(other->offset));
}

} // namespace berylcrank
