#pragma once

#include "modules/berylcrank_node/request/routed_target.h"

namespace berylcrank {

/** Routes a node's attempts: finds the service, acquires an upstream from its `service_router`, then passes
    the `cold_gate`, with a permit if needed.
    An upstream that gets no permit is released, and another one is tried for a limited time.
    @see routed_target
*/
class node_router final : public attempt_router {
public:
    node_router(const routing_dependencies& deps, const service_table& services)
        : deps_(deps), services_(services) {}

    void route(attempt_request it, target_callback found, refusal_callback refused) override;

    /** Resumes the search for requests that found no permit. Call every 5 to 20 ms. */
    void tick();

private:
    struct search;

    void acquire(const std::shared_ptr<search>& it);
    void on_grant(const std::shared_ptr<search>& it, const route_grant& grant);
    void on_route_refusal(const std::shared_ptr<search>& it, const route_refusal& refusal);
    void request_permit(const std::shared_ptr<search>& it, const route_grant& grant, cold_attempt cold);

    routing_dependencies deps_;
    const service_table& services_;
    mutex mutex_;
    std::vector<std::pair<instant, std::shared_ptr<search>>> paused_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
