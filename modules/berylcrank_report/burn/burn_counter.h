#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_report/burn/burn_event.h"

#include <vector>

namespace berylcrank {

/** Counts the events of one service on one node in the sliding windows of the burn report.

    Three ring buffers store 5 minutes in buckets of 5 s, 6 hours in buckets of 1 minute and 3 days in buckets
    of 1 hour. Memory use is constant. Safe for concurrent use.
    @see burn_event, burn_report
*/
class burn_counter {
public:
    burn_counter();

    /** Counts one request that ended at `now`. `in_domain_change` is true if a failure domain of the
        service is out of use or has recently returned to use. */
    void record(burn_event event, bool in_domain_change, instant now);

    /** Returns the event counts of the window that ends at `now`. The oldest bucket is counted in full. */
    [[nodiscard]] burn_counts window(burn_window length, instant now) const;

    /** Returns the event counts since the node started. */
    [[nodiscard]] burn_counts since_start() const;

    /** Returns the counts of the events since the node started that were recorded with `in_domain_change`. */
    [[nodiscard]] burn_counts in_domain_change() const;

private:
    struct ring {
        std::int64_t step_seconds{1};
        std::vector<burn_counts> buckets;
        /** Number of the newest step. Step `n` is stored in bucket `n % buckets.size()`. */
        std::int64_t newest{-1};

        void advance_to(std::int64_t step);
        [[nodiscard]] burn_counts sum_since(std::int64_t first_step, std::int64_t last_step) const;
    };

    mutable mutex mutex_;
    std::vector<ring> rings_ ABSL_GUARDED_BY(mutex_);
    burn_counts since_start_ ABSL_GUARDED_BY(mutex_);
    burn_counts in_domain_change_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
