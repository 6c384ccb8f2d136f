#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_core/verdict/run_verdict.h"

namespace berylcrank {

/** The properties of a failed attempt that decide whether the request is retried. @see may_retry */
struct failed_attempt {
    run_verdict verdict{run_verdict::may_have_run};
    bool is_idempotent{true};
    bool is_marked_no_retry{false}; ///< The response has the header `Berylcrank-Retry: no`.
    int attempts{1};                ///< Attempts made so far.
    instant deadline;
    millis expected_latency; ///< Of the next attempt.
};

/** Maximum number of attempts per request at one level of a chain of services. */
inline constexpr int max_attempts = 3;

/** True if a retry is allowed.

    A non-idempotent request is retried only after `not_run`, an idempotent one also after `may_have_run`. A
    response marked "do not retry" is never retried, nor is a request whose deadline cannot be met. The
    retry budget is not checked here but by `service_router::acquire`.
*/
constexpr bool may_retry(const failed_attempt& attempt, instant now) {
    const bool is_safe = attempt.verdict == run_verdict::not_run ||
                         (attempt.is_idempotent && attempt.verdict == run_verdict::may_have_run);
    return is_safe && !attempt.is_marked_no_retry && attempt.attempts < max_attempts &&
           now + attempt.expected_latency < attempt.deadline;
}

} // namespace berylcrank
