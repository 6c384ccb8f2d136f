#pragma once

/** @file Module berylcrank_routing: decides to which upstream a request is sent, when, and whether it is
    sent at all.

    Areas: policy (load balancing policies, upstream statistics, subsets), limits (concurrency limits,
    admission queue), retry (retry budget and rule), outlier (outlier ejection), probe (probe budget), cold
    (admission control for cold upstreams), service (facade that combines these for one service at one node).

    Dependencies: berylcrank_core, berylcrank_config (objects of tickets), Abseil, xxhash. Does no I/O: time,
   randomness and messages are arguments.
*/

#include "modules/berylcrank_routing/retry/retry_rule.h"
#include "modules/berylcrank_routing/service/service_router.h"
