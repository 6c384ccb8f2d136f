#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_membership/view/peer_view.h"
#include "modules/berylcrank_node/control/config_follower.h"
#include "modules/berylcrank_routing/cold/cold_gate.h"
#include "modules/berylcrank_suspect/table/suspect_table.h"

namespace berylcrank {

/** Builds a node's gossip messages and processes those of its peers. Thread-safe.
    @see node_peer_service
*/
class gossip_processor {
public:
    /** Sources of the message content; all must outlive this object. */
    struct dependencies {
        const clock& time;
        peer_view& peers;
        config_follower& config;
        cold_gate& gate;
        suspect_table& suspects;
    };

    gossip_processor(const dependencies& it, std::uint64_t seed) : deps_(it), random_(seed) {}

    /** Builds a complete message for a peer. */
    [[nodiscard]] gossip_message make_message();

    /** Processes the configuration state, warm reports and suspects of a peer's message or response. The peer
       view is updated separately. */
    void process(const gossip_message& it);

    /** Chooses the peers to gossip with in this round. */
    [[nodiscard]] std::vector<gossip_target> choose_targets();

private:
    void add_suspects(gossip_message& to, instant now);

    dependencies deps_;
    mutex mutex_;
    seeded_random random_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
