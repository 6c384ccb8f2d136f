#pragma once

/** @file
    Module berylcrank_balance: load-balancing decisions of a node that serves callers on the platform.

    Areas: config (routes and traffic splits), account (accounts of callers), catalog (records of the store,
   upstreams), load (load of the upstreams), choice (selection of an upstream, hedging), admission (queueing
   and refusal of requests), budget (retry budget), usage (usage caps of accounts over all nodes), warmup
   (rate limit for cold upstreams), peers (other nodes, assignment of duties).

    Dependencies: berylcrank_core, Abseil, xxhash. Does no I/O; time and randomness are passed in. Not
    thread-safe: used by a single thread.
*/

#include "modules/berylcrank_balance/account/account_table.h"
#include "modules/berylcrank_balance/admission/prior_wait_estimator.h"
#include "modules/berylcrank_balance/admission/slot_shares.h"
#include "modules/berylcrank_balance/admission/startup_limiter.h"
#include "modules/berylcrank_balance/admission/stop_admission.h"
#include "modules/berylcrank_balance/admission/wait_queue.h"
#include "modules/berylcrank_balance/budget/windowed_retry_budget.h"
#include "modules/berylcrank_balance/catalog/record_table.h"
#include "modules/berylcrank_balance/catalog/upstream_directory.h"
#include "modules/berylcrank_balance/choice/hedge_policy.h"
#include "modules/berylcrank_balance/choice/transfer_sizes.h"
#include "modules/berylcrank_balance/choice/upstream_choice.h"
#include "modules/berylcrank_balance/choice/upstream_subset.h"
#include "modules/berylcrank_balance/config/route_table.h"
#include "modules/berylcrank_balance/config/weighted_split.h"
#include "modules/berylcrank_balance/load/in_flight_slot.h"
#include "modules/berylcrank_balance/load/load_tracker.h"
#include "modules/berylcrank_balance/load/median_durations.h"
#include "modules/berylcrank_balance/peers/peer_table.h"
#include "modules/berylcrank_balance/usage/usage_caps.h"
#include "modules/berylcrank_balance/warmup/warmup_limiter.h"
