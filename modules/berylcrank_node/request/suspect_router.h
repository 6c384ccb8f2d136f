#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_node/request/attempt_router.h"
#include "modules/berylcrank_node/request/upstream_runs.h"

namespace berylcrank {

/** Refuses attempts of requests that crash the upstreams that run them, and passes the others on to another
    router. Learns from the end of each attempt.
    @see suspect_table
*/
class suspect_router final : public attempt_router {
public:
    /** Components that the router uses; all must outlive it and its targets. */
    struct dependencies {
        const clock& time;
        suspect_table& suspects;
        upstream_runs& runs;
        attempt_router& next;
    };

    explicit suspect_router(const dependencies& it) : deps_(it) {}

    void route(attempt_request it, target_callback found, refusal_callback refused) override;

private:
    class target;

    dependencies deps_;
};

} // namespace berylcrank
