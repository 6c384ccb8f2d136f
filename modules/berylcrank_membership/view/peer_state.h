#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_membership/message/gossip_message.h"

#include <cstdint>
#include <optional>
#include <string>

namespace berylcrank {

/** What a node believes about another one. @see peer_view */
enum class peer_state : std::uint8_t {
    alive,
    silent,  ///< Several nodes asked it without an answer and nobody has news of it.
    leaving, ///< It announced a planned stop, or the VM list says that its vm leaves.
    gone,    ///< Its run has ended.
};

/** An entry of the platform's VM list, as membership needs it; `vm_entry` of berylcrank_platform has the same
    fields, but decision code does not depend on adapters. */
struct vm_seed {
    std::string vm;
    std::string failure_domain;
    std::string region;
    std::string http_address;
    std::string rpc_address;
    bool leaving{false};
};

/** A member of the view at one moment. @see peer_view::members */
struct peer_member {
    peer_info info; ///< `run` is unset while the vm is only known from the VM list.
    peer_state state{peer_state::alive};
    bool is_self{false};
};

/** A peer to gossip with. @see peer_view::choose_targets */
struct gossip_target {
    std::string vm;
    incarnation run; ///< Unset if no run on that vm is known yet.
    std::string rpc_address;
};

} // namespace berylcrank
