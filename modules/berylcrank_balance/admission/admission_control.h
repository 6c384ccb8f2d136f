#pragma once

#include "modules/berylcrank_core/time/millis.h"

namespace berylcrank {

/** What is known when a request finds no room at any upstream of its service. Times count from now. */
struct admission_inputs {
    millis since_received;        ///< How long it has been here.
    millis prior_wait;            ///< How long its caller had been waiting when it arrived.
    millis latency_target;        ///< Time within which its response is worth most; 0 when not known.
    millis deadline_left;         ///< Until its deadline.
    millis duration;              ///< How long it is expected to take once sent; 0 when not known.
    std::size_t ahead{0};         ///< Requests that would be served before it.
    double drained_per_second{0}; ///< Requests of the service that ended here lately.
    double random{0};             ///< In [0, 1).
};

/** Whether a request waits for room, and if not, when its caller should come back. */
struct admission_decision {
    bool waits{false};
    bool late{false}; ///< It can no longer be answered within the latency target.
    millis max_wait;
    millis retry_after;
};

/** Times of the admission rule. */
struct admission_options {
    double late_share{0.3};   ///< Share of the time left that a late request may spend waiting.
    double target_share{0.8}; ///< Share of the latency target within which the response must be made: the
                              ///< rest is for its way back.
    millis usual_target{300}; ///< Taken where a route names no target.
    millis least_retry{120};  ///< Shortest time after which a caller may come back.
    millis longest_retry{600};
};

/** Time within which the response must be made to be on time. */
millis target_time_left(const admission_inputs& in, const admission_options& options);

/** Requests on time that may wait for a service: as many as end within `patience`. At least 1. */
std::size_t max_queue_length(double drained_per_second, millis patience);

/** Decides for a request that finds no room.

    Answers the load of a burst: a request that cannot be served in time is refused at once, so that its
   caller comes back while there is time left, and the upstreams keep serving those that still can be. One
   that can be served in time waits as long as that is so.
    @see wait_queue
*/
admission_decision decide_admission(const admission_inputs& in, const admission_options& options);

/** Time after which a refused caller should come back: when what is ahead of it has been served, with a
   spread so that callers do not come back together. */
millis retry_after(const admission_inputs& in, const admission_options& options);

} // namespace berylcrank
