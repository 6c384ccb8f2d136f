#include "modules/berylcrank_node/control/config_applier.h"

namespace berylcrank {

void config_applier::apply(const config_view_ptr& view) {
    const lock_guard hold(mutex_);
    if (view->applied() < applied_) {
        return;
    }
    applied_ = view->applied();
    const auto now = parts_.time.now();
    parts_.services.update(view, now);
    apply_holders(*view, now);
}

void config_applier::apply_holders(const config_view& view, instant now) {
    std::array<incarnation, group_count> names;
    for (std::uint32_t group = 0; group < group_count; ++group) {
        names[group] = view.holder_of(group).holder;
    }
    parts_.gate.set_holders(names);
    for (std::uint32_t group = 0; group < group_count; ++group) {
        const auto& holder = view.holder_of(group);
        if (holder == holders_[group]) {
            continue;
        }
        holders_[group] = holder;
        if (holder.holder != parts_.self) {
            parts_.issuer.stop(group);
            continue;
        }
        // A node hands over only after its last permit has ended.
        if (holder.is_first || holder.is_hand_over) {
            parts_.issuer.hold_immediately(group);
        } else {
            parts_.issuer.hold(group, false, now);
        }
        for (const auto& [upstream, upstream_incarnation] : parts_.gate.warm_incarnations(group)) {
            parts_.issuer.mark_warm(upstream, upstream_incarnation);
        }
    }
}

} // namespace berylcrank
