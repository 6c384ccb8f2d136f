#include "modules/berylcrank_node/control/config_applier.h"

namespace berylcrank {

void config_applier::apply(const config_view_ptr& view) {
    const lock_guard hold(mutex_);
    if (view->applied() < applied_) {
        return;
    }
    applied_ = view->applied();
    const auto now = deps_.time.now();
    deps_.services.update(view, now);
    apply_holders(*view, now);
}

void config_applier::apply_holders(const config_view& view, instant now) {
    std::array<incarnation, group_count> holders_by_group;
    for (std::uint32_t group = 0; group < group_count; ++group) {
        holders_by_group[group] = view.holder_of(group).holder;
    }
    deps_.gate.set_holders(holders_by_group);
    for (std::uint32_t group = 0; group < group_count; ++group) {
        const auto& holder = view.holder_of(group);
        if (holder == holders_[group]) {
            continue;
        }
        holders_[group] = holder;
        if (holder.holder != deps_.self) {
            deps_.issuer.stop(group);
            continue;
        }
        // A node hands a group over only after its last permit has ended, so the new holder need not wait.
        if (holder.is_first || holder.is_hand_over) {
            deps_.issuer.hold_immediately(group);
        } else {
            deps_.issuer.hold(group, false, now);
        }
        for (const auto& [upstream, upstream_incarnation] : deps_.gate.warm_incarnations(group)) {
            deps_.issuer.mark_warm(upstream, upstream_incarnation);
        }
    }
}

} // namespace berylcrank
