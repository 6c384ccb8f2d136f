#include "modules/berylcrank_balance/choice/hedge_policy.h"

#include <algorithm>

namespace berylcrank {

bool should_hedge(const hedge_inputs& in, const hedge_options& options) {
    if (in.silent) {
        return in.deadline_left > in.duration * options.hedge_duration_factor; // also if it is unknown
    }
    if (in.duration <= millis{} || in.deadline_left <= in.duration * options.hedge_duration_factor) {
        return false;
    }
    if (in.unreachable) {
        return true;
    }
    if (in.requests_queued) {
        return false;
    }
    if (in.target_left >= in.duration * options.hedge_duration_factor) {
        const auto remaining =
            std::max(in.duration - in.running, in.duration * options.min_remaining_share) * in.slowness;
        return remaining > in.target_left;
    }
    return in.running > in.duration * (options.unresponsive_factor * std::max(1.0, in.slowness));
}

} // namespace berylcrank
