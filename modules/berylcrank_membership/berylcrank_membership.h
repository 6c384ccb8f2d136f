#pragma once

/** @file
    Module berylcrank_membership: which nodes exist, what they say about themselves, and which addresses
    callers get.

    Areas: message (content of gossip), view (peer view), address (address answers, leaving).

    Dependencies: berylcrank_core, berylcrank_config, Abseil. Does no I/O; time and randomness are arguments.
*/

#include "modules/berylcrank_membership/address/address_selector.h"
#include "modules/berylcrank_membership/address/exit_policy.h"
#include "modules/berylcrank_membership/message/gossip_message.h"
#include "modules/berylcrank_membership/view/peer_view.h"
