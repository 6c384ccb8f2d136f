#pragma once

#include "modules/berylcrank_core/time/millis.h"

namespace berylcrank {

/** State of a request that a stopping node has not sent to an upstream yet. */
struct stop_inputs {
    millis since_stop;    ///< Time since the node was told to stop.
    millis exit_in;       ///< Time until the process exits, whatever is still running.
    millis deadline_left; ///< Time until the deadline of the request, at which it gets a final response.
    millis queue_wait;    ///< Expected time in this node's queue.
    millis duration;      ///< Median duration of such requests at an upstream; 0 if unknown.
};

/** Parameters of the admission of requests at a stopping node. */
struct stop_options {
    /** Time in which callers learn from the directory that the node stops (the platform's rule for planned
        stops, docs/platform.md). Until then, requests are sent if they can be expected to complete. */
    millis notice_time{3000};
    /** Multiple of the median duration that covers the upstream's own queue and slow upstreams. */
    double duration_factor{4};
};

/** Returns whether a stopping node still sends a request to an upstream.

    The exit of the process cuts off what is running, so a request is sent if its deadline comes before the
    exit. Any other request is sent only within `notice_time` and if it is expected to complete; later, its
    caller can use another node.
*/
bool may_send_while_stopping(const stop_inputs& in, const stop_options& options);

} // namespace berylcrank
