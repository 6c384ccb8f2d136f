#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_membership/view/peer_view.h"
#include "modules/berylcrank_node/control/peer_state_source.h"
#include "modules/berylcrank_rpc/peer/peer_client.h"

#include <atomic>

namespace berylcrank {

/** Pulls configuration state from other nodes over RPC, one after another until one responds.
    @see config_follower
*/
class peer_state_puller final : public peer_state_source {
public:
    peer_state_puller(const clock& time, const peer_view& peers) : time_(time), peers_(peers) {}

    /** Sets the client. Without it nothing is pulled. */
    void start(peer_client& it) { client_.store(&it); }

    std::optional<std::string> pull_delta(std::uint64_t from_offset, millis limit) override;

private:
    std::optional<std::string> pull_from(const std::string& address, std::uint64_t from_offset, millis limit);

    const clock& time_;
    const peer_view& peers_;
    std::atomic<peer_client*> client_{nullptr};
    std::size_t next_{0}; ///< Next member to ask; repeated pulls reach different members.
};

} // namespace berylcrank
