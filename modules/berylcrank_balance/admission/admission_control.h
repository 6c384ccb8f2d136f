#pragma once

#include "modules/berylcrank_core/time/millis.h"

namespace berylcrank {

/** State of a request for which no upstream of its service has a free slot. Times are relative to now. */
struct admission_inputs {
    millis since_received;        ///< Time since this node received the request.
    millis prior_wait;            ///< Time the caller spent on earlier attempts before this one arrived.
    millis latency_target;        ///< Wanted response time; 0 if the route sets none.
    millis deadline_left;         ///< Time until the deadline of the request.
    millis duration;              ///< Expected duration once sent; 0 if unknown.
    std::size_t ahead{0};         ///< Queued requests that may be served before this one.
    double drained_per_second{0}; ///< Recent completions of the service's requests at this node.
    double random{0};             ///< Random number in [0, 1).
};

/** Whether a request is queued, and when its caller should retry if it is not. */
struct admission_decision {
    bool waits{false};  ///< The request is queued; otherwise it is refused.
    bool late{false};   ///< The request can no longer meet its latency target.
    millis max_wait;    ///< Longest time in the queue.
    millis retry_after; ///< Time after which a refused caller should retry.
};

/** Parameters of admission control. */
struct admission_options {
    double late_share{0.3};      ///< Share of the time until the deadline that a late request may be queued.
    double target_share{0.8};    ///< Share of the latency target within which the response must be ready.
                                 ///< The rest covers its way back to the caller.
    millis default_target{300};  ///< Latency target of routes that set none.
    millis min_retry_after{120}; ///< Lower bound of `retry_after` before the random spread.
    millis max_retry_after{600}; ///< Upper bound of `retry_after` before the random spread.
};

/** Time left in which a response still meets the latency target; negative once the request is late. */
millis target_time_left(const admission_inputs& in, const admission_options& options);

/** Largest number of on-time requests that may be queued for a service: as many as complete within
    `max_wait`, at least 1. */
std::size_t max_queue_length(double drained_per_second, millis max_wait);

/** Decides whether a request that finds no free slot is queued or refused.

    This limits the effect of load bursts. A request that cannot be served in time is refused at once, so that
    its caller can retry before its deadline, and the upstreams spend their slots on requests that can still
    be on time. Other requests stay queued for as long as they can be on time.
    @see wait_queue
*/
admission_decision decide_admission(const admission_inputs& in, const admission_options& options);

/** Time after which a refused caller should retry: when the requests ahead of it have been served, plus a
    random spread of up to 100 % so that callers do not retry together. */
millis retry_after(const admission_inputs& in, const admission_options& options);

} // namespace berylcrank
