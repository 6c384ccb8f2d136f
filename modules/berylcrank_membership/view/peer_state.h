#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_membership/message/gossip_message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace berylcrank {

/** State of a node as seen by this node. @see peer_view */
enum class peer_state : std::uint8_t {
    alive,
    silent,  ///< Calls from several nodes timed out and no node reports a recent heartbeat.
    leaving, ///< It announced a planned stop, or the VM list marks its vm as leaving.
    gone,    ///< Its run has ended.
};

/** Entry of the platform's VM list.

    It has the same fields as `vm_entry` in berylcrank_platform. A separate type is used because this module
    must not depend on platform adapters.
    @see peer_view::apply_vm_list
*/
struct vm_seed {
    std::string vm;
    std::string failure_domain;
    std::string region;
    std::string http_address;
    std::string rpc_address;
    bool leaving{false};
};

/** Snapshot of one member of the view. @see peer_view::members */
struct peer_member {
    peer_info info; ///< `run` is not set while the vm is known only from the VM list.
    peer_state state{peer_state::alive};
    bool is_self{false};
};

/** Recipient of a gossip message. @see peer_view::choose_targets */
struct gossip_target {
    std::string vm;
    incarnation run; ///< Not set if no run on that vm is known yet.
    std::string rpc_address;
};

} // namespace berylcrank
