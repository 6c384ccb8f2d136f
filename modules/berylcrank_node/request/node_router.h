#pragma once

#include "modules/berylcrank_node/request/routed_target.h"

namespace berylcrank {

/** Routes attempts of a node: service in force, then `service_router`, then `cold_gate` with a permit if
   needed.

    An upstream for which no permit can be had is given back and another one is tried, a bounded number of
   times.
    @see routed_target
*/
class node_router final : public attempt_router {
public:
    node_router(const routing_parts& parts, const service_table& services)
        : parts_(parts), services_(services) {}

    void route(attempt_request it, on_target found, on_refusal refused) override;

    /** Tries again for requests that found no permit. Call every 5 to 20 ms. */
    void tick();

private:
    struct search;

    void acquire(const std::shared_ptr<search>& it);
    void on_grant(const std::shared_ptr<search>& it, const route_grant& grant);
    void on_refused(const std::shared_ptr<search>& it, const route_refusal& refusal);
    void ask_permit(const std::shared_ptr<search>& it, const route_grant& grant, cold_attempt cold);

    routing_parts parts_;
    const service_table& services_;
    mutex mutex_;
    std::vector<std::pair<instant, std::shared_ptr<search>>> paused_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
