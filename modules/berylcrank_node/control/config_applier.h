#pragma once

#include "modules/berylcrank_config/state/config_view.h"
#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_node/request/service_table.h"
#include "modules/berylcrank_routing/cold/cold_gate.h"
#include "modules/berylcrank_routing/cold/permit_issuer.h"

namespace berylcrank {

/** Applies a configuration view to a node: services, group holders, and the permit issuer for the groups
    that this node holds.
    Thread-safe. Ignores a view that is older than the last applied one.
    @see config_follower
*/
class config_applier {
public:
    /** Components that a view is applied to; all must outlive this object. */
    struct dependencies {
        const clock& time;
        incarnation self;
        service_table& services;
        cold_gate& gate;
        permit_issuer& issuer;
    };

    explicit config_applier(const dependencies& it) : deps_(it) {}

    /** Applies a view, unless a newer one was applied before. */
    void apply(const config_view_ptr& view);

private:
    void apply_holders(const config_view& view, instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    dependencies deps_;
    mutex mutex_;
    std::uint64_t applied_ ABSL_GUARDED_BY(mutex_){0};
    std::array<group_holder, group_count> holders_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
