#pragma once

/** @file
    Module berylcrank_routing: the decisions about where, whether and when a request is sent.

    Areas: policy (choice of upstream, what is known of upstreams, subsets), limits (concurrency limits,
   queue), retry (budgets, rule), outlier (ejection), probe (probe budget), cold (cold admission), suspect
   (requests that crash upstreams), service (facade of all that for one service at one node).

    Dependencies: berylcrank_core, berylcrank_config (tickets' objects), berylcrank_membership (crash news),
    Abseil, xxhash. Does no I/O: time, randomness and messages are arguments.
*/

#include "modules/berylcrank_routing/retry/retry_rule.h"
#include "modules/berylcrank_routing/service/service_router.h"
