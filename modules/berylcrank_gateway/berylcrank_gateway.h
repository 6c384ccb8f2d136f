#pragma once

/** @file
    Module berylcrank_gateway: a reverse proxy node of a platform deployment.

    Areas: http (HTTP/1.1 messages on Boost.Beast), server (connections of callers), memory (limit on the
    memory for requests), client (connections to upstreams and other servers), flow (requests and their
    attempts), peers (messages between nodes), state (replicated records of the store), log, node (assembly).
   wire_format and metadata_store abstract the formats and the store of a platform.

    Dependencies: berylcrank_core, berylcrank_balance, Boost.Asio, Boost.Beast, Boost.LEAF, Cap'n Proto,
    prometheus-cpp, Abseil. One thread runs the event loop.
*/

#include "modules/berylcrank_gateway/node/gateway_node.h"
