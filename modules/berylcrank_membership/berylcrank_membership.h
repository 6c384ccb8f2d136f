#pragma once

/** @file
    Module berylcrank_membership: gossip-based membership, failure detection, and the selection of the node
    addresses that callers receive.

    Areas: message (content of gossip messages), view (membership as seen by this node), address (address
    selection, exit of a leaving node).

    Dependencies: berylcrank_core, berylcrank_config, Abseil. Does no I/O; the caller passes time and
    randomness.
*/

#include "modules/berylcrank_membership/address/address_selector.h"
#include "modules/berylcrank_membership/address/exit_policy.h"
#include "modules/berylcrank_membership/message/gossip_message.h"
#include "modules/berylcrank_membership/view/peer_view.h"
