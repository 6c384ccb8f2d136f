#pragma once

#include "modules/berylcrank_config/state/config_view.h"
#include "modules/berylcrank_config/state/snapshot_collector.h"
#include "modules/berylcrank_config/state/state_content.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Effect of one log record. @see config_state::apply */
enum class apply_result : std::uint8_t {
    accepted,        ///< The ticket took effect.
    rejected,        ///< The ticket was rejected; its outcome contains the reason.
    duplicate,       ///< The ticket was already applied or rejected.
    assigned,        ///< At least one group has a new holder.
    ignored,         ///< No assignment of the record took effect.
    snapshot,        ///< The record is a part of a snapshot.
    malformed,       ///< The record could not be decoded and was skipped.
    already_applied, ///< The offset was already included.
};

/** Counters since the start of the node. */
struct apply_counters {
    std::uint64_t accepted{0};
    std::uint64_t rejected{0};
    std::uint64_t duplicate{0};
    std::uint64_t assignments_won{0};
    std::uint64_t assignments_lost{0};
    std::uint64_t snapshot_parts{0};
    std::uint64_t malformed{0};
    std::uint64_t merges{0};      ///< Snapshots and peer deltas that were merged.
    std::uint64_t gaps{0};        ///< Number of times that trimmed records were skipped.
    std::uint64_t gap_offsets{0}; ///< Number of skipped offsets.
};

/** The configuration state machine of one node. Does no I/O and is not thread-safe.

    All nodes that applied the same records have the same digest and view.
    @see config_view, state_content
*/
class config_state {
public:
    config_state();

    /** Applies the record at `offset`, the next record on the log. Offsets that the log leaves unused do not
        count as a gap. For trimmed records call `skip_to` first. */
    apply_result apply(std::uint64_t offset, std::string_view record);

    /** Reads a record only for its snapshot part and applies nothing else.
        @returns true if the part completed a snapshot that was merged into the state.
    */
    bool scan(std::uint64_t offset, std::string_view record);

    /** Skips records up to `offset` that were trimmed before this node read them. */
    void skip_to(std::uint64_t offset);

    /** Merges a snapshot or peer delta.
        @param allow_gap If false, refuses content that leaves a gap above `applied()`, because the log may
        still have the missing records.
        @returns false if the content was refused.
    */
    bool merge(const state_content& other, bool allow_gap);

    /** The view of the current state. */
    [[nodiscard]] const config_view_ptr& view() const { return view_; }

    /** One past the last included or skipped offset: the next offset to read. */
    [[nodiscard]] std::uint64_t applied() const { return content_.covered.end; }

    /** End of the range that is included without gaps; lower than `applied()` if there is a gap. */
    [[nodiscard]] std::uint64_t first_missing() const { return content_.covered.contiguous_end; }

    [[nodiscard]] const state_content& content() const { return content_; }
    [[nodiscard]] const apply_counters& counters() const { return counters_; }

    /** The newest complete snapshot on the log; empty if none was read. */
    [[nodiscard]] const std::optional<logged_snapshot>& newest_snapshot() const {
        return collector_.newest();
    }

private:
    apply_result apply_ticket(const ticket_record& record, std::uint64_t offset);
    apply_result apply_assignments(const std::vector<holder_assignment>& list, std::uint64_t offset);
    bool add_snapshot_part(const snapshot_part& part, std::uint64_t offset);
    void refresh_view();

    state_content content_;
    snapshot_collector collector_;
    config_view_ptr view_;
    apply_counters counters_;
};

} // namespace berylcrank
