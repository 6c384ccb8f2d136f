#pragma once

/** @file
    Module berylcrank_gateway: a node that serves callers of a platform deployment.

    Areas: http (messages on Boost.Beast), server (callers' connections), client (connections to upstreams and
   other servers), flow (requests and their attempts), peers (messages between nodes), state (records of the
   store), log, node (assembly). The formats of a platform come through wire_format and metadata_store.

    Dependencies: berylcrank_core, berylcrank_balance, Boost.Asio, Boost.Beast, Boost.LEAF, Cap'n Proto,
    prometheus-cpp, Abseil. One thread runs an event loop.
*/

#include "modules/berylcrank_gateway/node/gateway_node.h"
