#pragma once

#include "modules/berylcrank_core/time/millis.h"

namespace berylcrank {

/** What is known of a request that runs at one upstream and has no response yet. */
struct hedge_inputs {
    millis running;     ///< Since it was sent.
    millis duration;    ///< How long such requests usually take at an upstream of slowness 1; 0 if not known.
    double slowness{1}; ///< Of the upstream now.
    bool unreachable{false}; ///< The upstream has lately not been reachable.
    bool requests_queued{
        false};           ///< Requests wait for the service: a second attempt would take a slot from one.
    millis target_left;   ///< Until its response is late; below 0 if it is already.
    millis deadline_left; ///< Until its deadline.
};

/** Limits of the rule. */
struct hedge_options {
    double least_rest{0.3}; ///< Share of the usual duration that is assumed to remain, whatever has passed.
    double other_duration{1.2}; ///< Usual durations that a second attempt takes.
    double silent_factor{4};    ///< Expected durations after which an upstream counts as silent.
};

/** Whether a request that may be repeated is sent to a second upstream while the first still works.

    Answers the load of upstreams that turn slow within milliseconds after a request was sent, and of those
   that go silent: the second attempt is made while the response can still be in time, or when none will come.
   The budget of resends bounds how many are.
    @see windowed_retry_budget
*/
bool should_hedge(const hedge_inputs& in, const hedge_options& options);

} // namespace berylcrank
