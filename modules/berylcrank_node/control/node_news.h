#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_membership/view/peer_view.h"
#include "modules/berylcrank_node/control/config_follower.h"
#include "modules/berylcrank_routing/cold/cold_gate.h"

namespace berylcrank {

/** Fills and takes gossip messages of a node. Safe from any thread.

    @see node_peer_service
*/
class node_news {
public:
    /** What messages are made from; all must outlive this object. */
    struct parts {
        const clock& time;
        peer_view& peers;
        config_follower& config;
        cold_gate& gate;
    };

    node_news(const parts& it, std::uint64_t seed) : parts_(it), random_(seed) {}

    /** A message for a peer, complete. */
    [[nodiscard]] gossip_message make();

    /** Takes configuration and warm news of a peer's message or reply; the peer view is told separately. */
    void take(const gossip_message& it);

    /** Peers to gossip with in this round. */
    [[nodiscard]] std::vector<gossip_target> choose();

private:
    parts parts_;
    mutex mutex_;
    seeded_random random_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
