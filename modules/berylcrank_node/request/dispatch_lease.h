#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <atomic>

namespace berylcrank {

/** Lease that allows this node to send new work to upstreams.
    The control thread renews the lease after each check of the configuration's freshness. The lease expires
    by itself, so that a process that resumes after a pause sends nothing before its next check.
    @see decide_freshness
*/
class dispatch_lease {
public:
    /** Allows new work until `until`. */
    void renew_until(instant until) { expires_micros_.store(until.since_start().micros()); }

    /** Stops new work immediately. */
    void revoke() { expires_micros_.store(0); }

    /** True if new work may be sent. */
    [[nodiscard]] bool is_valid(instant now) const {
        return now.since_start().micros() < expires_micros_.load();
    }

private:
    std::atomic<std::int64_t> expires_micros_{0};
};

} // namespace berylcrank
