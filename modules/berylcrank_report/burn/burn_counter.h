#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_report/burn/burn_event.h"

#include <vector>

namespace berylcrank {

/** Counts the events of one service at one node over the windows of the burn report.

    Three rings of buckets hold 5 minutes in steps of 5 s, 6 hours in steps of 1 minute and 3 days in steps of
    1 hour. Memory is constant. Safe for several threads.
    @see burn_event, burn_report
*/
class burn_counter {
public:
    burn_counter();

    /** Counts one request that ended at `now`. `in_domain_change`: a failure domain of its service was out or
        had returned recently. */
    void record(burn_event it, bool in_domain_change, instant now);

    /** Events of the window that ends at `now`; the oldest bucket counts whole. */
    [[nodiscard]] burn_counts window(burn_window it, instant now) const;

    /** Events since start. */
    [[nodiscard]] burn_counts since_start() const;

    /** Events since start while a failure domain of the service was out or had returned recently. */
    [[nodiscard]] burn_counts in_domain_change() const;

private:
    struct ring {
        std::int64_t step_seconds{1};
        std::vector<burn_counts> buckets;
        std::int64_t newest{-1}; ///< Number of the newest step that has a bucket.

        void advance_to(std::int64_t step);
        [[nodiscard]] burn_counts sum_since(std::int64_t first_step, std::int64_t last_step) const;
    };

    mutable mutex mutex_;
    std::vector<ring> rings_ ABSL_GUARDED_BY(mutex_);
    burn_counts since_start_ ABSL_GUARDED_BY(mutex_);
    burn_counts in_domain_change_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
