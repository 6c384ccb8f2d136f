#pragma once

#include "modules/berylcrank_config/state/group_holders.h"
#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_node/control/log_tail.h"
#include "modules/berylcrank_node/control/shared_config.h"
#include "modules/berylcrank_node/control/snapshot_schedule.h"

#include <atomic>
#include <deque>
#include <span>
#include <string>
#include <vector>

namespace berylcrank {

/** Appends a node's own records, which are group assignments and snapshots, with at most one append per
    step. Used by one thread, except for `propose`, which is thread-safe.
    @see config_follower
*/
class record_writer {
public:
    struct options {
        millis retention{3600000};
        millis retry{200}; ///< Minimum wait after a failed append; the maximum is three times this.
        millis confirm_timeout{2000}; ///< An assignment not on the log after this time is appended again.
    };

    record_writer(options it, log_service& log, shared_config& config, const clock& time,
                  random_source& random)
        : options_(it), log_(log), config_(config), clock_(time), random_(random),
          schedule_({.retention = it.retention}, random) {}

    /** Queues assignments. Each is appended until the log shows it or another holder. */
    void propose(std::span<const holder_assignment> list);

    /** Performs at most one append. `is_current` means that the log was recently read to its end; snapshots
        are written only then. @return Time to wait before the next step. */
    millis step(const log_read_status& log, bool is_current);

    [[nodiscard]] std::uint64_t snapshots_written() const { return snapshots_written_.load(); }

private:
    struct proposal {
        holder_assignment content;
        instant next_append;
    };

    std::vector<holder_assignment> due_proposals();
    bool append_assignments(const std::vector<holder_assignment>& list);
    void plan_snapshot(const log_read_status& log);
    bool append_part();
    bool append(const std::string& record);
    [[nodiscard]] millis retry_wait() { return options_.retry * (1.0 + 2.0 * random_.unit()); }

    options options_;
    log_service& log_;
    shared_config& config_;
    const clock& clock_;
    random_source& random_;
    snapshot_schedule schedule_;

    std::deque<std::string> parts_; ///< Parts of the snapshot in progress that are not appended yet.
    std::uint64_t parts_applied_{0};
    instant parts_deadline_;
    std::atomic<std::uint64_t> snapshots_written_{0};

    mutex mutex_;
    std::vector<proposal> proposals_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
