#pragma once

/** @file
    Module berylcrank_rpc: RPC between nodes with Cap'n Proto.

    Areas: peer (calls between nodes, with server and client on one thread).

    Dependencies: berylcrank_core, berylcrank_membership, berylcrank_once, berylcrank_routing (message types
    only), Cap'n Proto RPC.
*/

#include "modules/berylcrank_rpc/peer/peer_client.h"
#include "modules/berylcrank_rpc/peer/peer_service.h"
