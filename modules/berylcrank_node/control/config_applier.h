#pragma once

#include "modules/berylcrank_config/state/config_view.h"
#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_node/request/service_table.h"
#include "modules/berylcrank_routing/cold/cold_gate.h"
#include "modules/berylcrank_routing/cold/permit_issuer.h"

namespace berylcrank {

/** Brings a configuration into force at a node: services, holders of admission groups, own groups.

    Safe from any thread; an older view than the last one is passed over.
    @see config_follower
*/
class config_applier {
public:
    /** Where it is brought into force; all must outlive this object. */
    struct parts {
        const clock& time;
        incarnation self;
        service_table& services;
        cold_gate& gate;
        permit_issuer& issuer;
    };

    explicit config_applier(const parts& it) : parts_(it) {}

    /** Takes a view. */
    void apply(const config_view_ptr& view);

private:
    void apply_holders(const config_view& view, instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    parts parts_;
    mutex mutex_;
    std::uint64_t applied_ ABSL_GUARDED_BY(mutex_){0};
    std::array<group_holder, group_count> holders_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
