#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_core/verdict/run_verdict.h"

namespace berylcrank {

/** A failed attempt, as far as it decides on another one. @see may_retry */
struct failed_attempt {
    run_verdict verdict{run_verdict::may_have_run};
    bool is_idempotent{true};
    bool is_marked_no_retry{false}; ///< The answer carried `Berylcrank-Retry: no`.
    int attempts{1};                ///< Attempts made so far.
    instant deadline;
    millis expected_latency; ///< Of one more attempt.
};

/** Most attempts of one request at one level. */
inline constexpr int max_attempts = 3;

/** True if another attempt is allowed: a non-idempotent request only after `not_run`, an idempotent one also
    after `may_have_run`; never against a "do not retry" mark, and only if the deadline can still be met. The
    retry budget is asked by `service_router::acquire`.
*/
constexpr bool may_retry(const failed_attempt& it, instant now) {
    const bool is_safe =
        it.verdict == run_verdict::not_run || (it.is_idempotent && it.verdict == run_verdict::may_have_run);
    return is_safe && !it.is_marked_no_retry && it.attempts < max_attempts &&
           now + it.expected_latency < it.deadline;
}

} // namespace berylcrank
