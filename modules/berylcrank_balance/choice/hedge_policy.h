#pragma once

#include "modules/berylcrank_core/time/millis.h"

namespace berylcrank {

/** State of a request that was sent to one upstream and has no complete response yet. */
struct hedge_inputs {
    millis running;          ///< Time since it was sent.
    millis duration;         ///< Median duration of such requests at an upstream of slowness 1; 0 if unknown.
    double slowness{1};      ///< Current slowness of the upstream.
    bool unreachable{false}; ///< The upstream was recently unreachable.
    bool silent{false};      ///< The upstream has begun its response and gone silent.
    bool requests_queued{false}; ///< Requests are queued for the service; a hedge would take a slot from one.
    millis target_left;          ///< Time left to meet the latency target; negative if it is missed.
    millis deadline_left;        ///< Time until the deadline of the request.
};

/** Parameters of the hedging policy. */
struct hedge_options {
    double min_remaining_share{0.3};   ///< Smallest share of the expected duration that is assumed to remain.
    double hedge_duration_factor{1.2}; ///< Duration of a hedge, as a multiple of the expected duration.
    double unresponsive_factor{
        4}; ///< Multiple of the expected duration after which an upstream counts as unresponsive.
};

/** Returns whether an idempotent request is sent to a second upstream while the first attempt still runs.

    An upstream may become slow within milliseconds after a request was sent, or stop responding. A hedge is
    sent while the response can still be on time, or when no response is expected. The retry budget limits the
    number of hedges.
    @see windowed_retry_budget
*/
bool should_hedge(const hedge_inputs& in, const hedge_options& options);

} // namespace berylcrank
