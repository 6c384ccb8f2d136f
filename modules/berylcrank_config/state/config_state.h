#pragma once

#include "modules/berylcrank_config/state/config_view.h"
#include "modules/berylcrank_config/state/snapshot_collector.h"
#include "modules/berylcrank_config/state/state_content.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** What one log record did. @see config_state::apply */
enum class apply_result : std::uint8_t {
    accepted,  ///< A ticket is in force.
    rejected,  ///< A ticket is not; the outcome says why.
    duplicate, ///< A ticket that was seen before.
    assigned,  ///< At least one group has a new holder.
    ignored,   ///< Assignments that all lost.
    snapshot,  ///< A part of a snapshot.
    malformed, ///< Skipped.
    known,     ///< The offset is included already.
};

/** Numbers of records since the start of the node. */
struct apply_counters {
    std::uint64_t accepted{0};
    std::uint64_t rejected{0};
    std::uint64_t duplicate{0};
    std::uint64_t assignments_won{0};
    std::uint64_t assignments_lost{0};
    std::uint64_t snapshot_parts{0};
    std::uint64_t malformed{0};
    std::uint64_t joins{0};       ///< Snapshots and peer deltas that brought something new.
    std::uint64_t gaps{0};        ///< Times that trimmed records were passed over.
    std::uint64_t gap_offsets{0}; ///< Offsets passed over.
};

/** The configuration state machine of one node. Does no I/O; not safe for several threads.

    All nodes that applied the same records have the same digest and view.
    @see config_view, state_content
*/
class config_state {
public:
    config_state();

    /** Applies the record at `offset`, which follows the last applied one. Offsets that the log does not use
       are no gap; trimmed ones are, see `skip_to`. */
    apply_result apply(std::uint64_t offset, std::string_view record);

    /** Looks for a snapshot in a record without applying it; true if this completed one that was joined. */
    bool scan(std::uint64_t offset, std::string_view record);

    /** Passes over records that were trimmed unread, up to `offset`. */
    void skip_to(std::uint64_t offset);

    /** Joins a snapshot or peer delta. With `allow_gap` false, content that would leave a gap above
       `applied()` is refused, since the log may still have those records. Returns false if it was refused. */
    bool merge(const state_content& it, bool allow_gap);

    /** The view of the current state. */
    [[nodiscard]] const config_view_ptr& view() const { return view_; }

    /** One past the last offset that was included or passed over: the next one to read. */
    [[nodiscard]] std::uint64_t applied() const { return content_.covered.end; }

    /** First offset that is not certainly included; below `applied()` if there is a gap. */
    [[nodiscard]] std::uint64_t first_missing() const { return content_.covered.certain; }

    [[nodiscard]] const state_content& content() const { return content_; }
    [[nodiscard]] const apply_counters& counters() const { return counters_; }

    /** The newest complete snapshot seen on the log. */
    [[nodiscard]] const std::optional<logged_snapshot>& newest_snapshot() const {
        return collector_.newest();
    }

private:
    apply_result apply_ticket(const ticket_record& it, std::uint64_t offset);
    apply_result apply_assignments(const std::vector<holder_assignment>& list, std::uint64_t offset);
    bool take_part(const snapshot_part& part, std::uint64_t offset);
    void refresh_view();

    state_content content_;
    snapshot_collector collector_;
    config_view_ptr view_;
    apply_counters counters_;
};

} // namespace berylcrank
