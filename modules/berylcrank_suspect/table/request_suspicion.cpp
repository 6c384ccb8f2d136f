#include "modules/berylcrank_suspect/table/request_suspicion.h"

#include <algorithm>

namespace berylcrank {

suspect_verdict request_suspicion::check(instant now) {
    using action_kind = suspect_verdict::action_kind;
    const auto of_request = table_.check(fingerprints_.of_request, now);
    if (of_request.action == action_kind::refuse) {
        return of_request;
    }
    const auto of_caller = table_.check(fingerprints_.of_caller, now);
    if (of_caller.action == action_kind::refuse) {
        if (of_request.action == action_kind::trial) {
            table_.on_trial_unused(fingerprints_.of_request);
        }
        return of_caller;
    }
    return of_request.action == action_kind::trial ? of_request : of_caller;
}

bool request_suspicion::allows_retry() {
    return table_.allows_retry(fingerprints_.of_request) && table_.allows_retry(fingerprints_.of_caller);
}

std::uint32_t request_suspicion::on_lost(const upstream_loss& loss, instant now) {
    return std::max(table_.on_lost(fingerprints_.of_request, loss, now),
                    table_.on_lost(fingerprints_.of_caller, loss, now));
}

void request_suspicion::on_success(instant now) {
    table_.on_success(fingerprints_.of_request, now);
    table_.on_success(fingerprints_.of_caller, now);
}

void request_suspicion::on_trial_unused() {
    table_.on_trial_unused(fingerprints_.of_request);
    table_.on_trial_unused(fingerprints_.of_caller);
}

} // namespace berylcrank
