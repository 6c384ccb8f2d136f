#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <atomic>

namespace berylcrank {

/** Whether this node may send new work to upstreams.

    The control thread extends the permission after each check of the configuration's freshness. It ends by
   itself, so that a process that resumes after a pause sends nothing before its next check.
    @see decide_freshness
*/
class work_gate {
public:
    /** Permits new work until `until`. */
    void open_until(instant until) { until_micros_.store(until.since_start().micros()); }

    /** Stops new work at once. */
    void close() { until_micros_.store(0); }

    /** True if new work may be sent. */
    [[nodiscard]] bool is_open(instant now) const {
        return now.since_start().micros() < until_micros_.load();
    }

private:
    std::atomic<std::int64_t> until_micros_{0};
};

} // namespace berylcrank
