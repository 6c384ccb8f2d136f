#include "modules/berylcrank_balance/admission/admission_rule.h"

#include <algorithm>

namespace berylcrank {

millis retry_after(const admission_inputs& in, const admission_options& options) {
    const double rate = std::max(1.0, in.drained_per_second);
    const auto drained = millis::from_value(static_cast<double>(in.ahead + 1) / rate * 1000);
    const auto base = std::clamp(drained, options.least_retry, options.longest_retry);
    return base * (1 + in.random);
}

admission_decision decide_admission(const admission_inputs& in, const admission_options& options) {
    const auto target = in.latency_target > millis{} ? in.latency_target : options.usual_target;
    const bool late = in.before + in.since_received >= target;
    const auto in_target = std::min(target * options.target_share - in.since_received, in.left * 0.5);
    const auto longest = late ? in.left * options.late_share : in_target;
    admission_decision result{.late = late, .retry_after = retry_after(in, options)};
    const auto needed =
        millis::from_value(static_cast<double>(in.ahead) / std::max(1.0, in.drained_per_second) * 1000);
    result.waits = longest > millis{} && (in.ahead == 0 || needed <= longest);
    result.give_up_after = longest;
    return result;
}

} // namespace berylcrank
