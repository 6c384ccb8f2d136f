#pragma once

#include "modules/berylcrank_config/state/snapshot_collector.h"
#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/time/instant.h"

#include <optional>

namespace berylcrank {

/** Inputs of the decision whether the log needs a snapshot. @see snapshot_schedule */
struct snapshot_inputs {
    instant now;
    std::uint64_t first_offset{0}; ///< Oldest offset that the log keeps.
    std::uint64_t next_offset{0};
    std::uint64_t applied{0};
    std::optional<logged_snapshot> newest; ///< Newest complete snapshot seen on the log.
};

/** Decides when this node appends a snapshot, so that the log always holds one and nodes rarely write at
    the same time.
    A snapshot is needed half a retention time after the last one, or earlier if the log trims by count. The
    node then waits for a random time and drops its plan if another node's snapshot appears. Performs no
    I/O; used by one thread.
*/
class snapshot_schedule {
public:
    struct options {
        millis retention{3600000}; ///< Retention time of log records.
    };

    snapshot_schedule(options it, random_source& random) : options_(it), random_(random) {}

    /** True if the node must append a snapshot now. */
    bool is_due(const snapshot_inputs& it);

private:
    [[nodiscard]] bool is_needed(const snapshot_inputs& it) const;
    [[nodiscard]] bool is_urgent(const snapshot_inputs& it) const;
    void update_newest(const snapshot_inputs& it);

    options options_;
    random_source& random_;
    std::optional<std::uint64_t> newest_offset_; ///< `last_offset` of the newest known snapshot.
    std::optional<instant> newest_written_at_;   ///< Estimated time when that snapshot was written.
    std::optional<instant> planned_at_;
};

} // namespace berylcrank
