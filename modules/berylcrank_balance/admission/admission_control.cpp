#include "modules/berylcrank_balance/admission/admission_control.h"

#include <algorithm>

namespace berylcrank {

millis retry_after(const admission_inputs& in, const admission_options& options) {
    const double rate = std::max(1.0, in.drained_per_second);
    const auto drained = millis::from_value(static_cast<double>(in.ahead + 1) / rate * 1000);
    const auto base = std::clamp(drained, options.least_retry, options.longest_retry);
    return base * (1 + in.random);
}

std::size_t max_queue_length(double drained_per_second, millis patience) {
    return std::max<std::size_t>(1, static_cast<std::size_t>(drained_per_second * patience.value() / 1000));
}

millis target_time_left(const admission_inputs& in, const admission_options& options) {
    const auto target = in.latency_target > millis{} ? in.latency_target : options.usual_target;
    return target * options.target_share - in.prior_wait - in.since_received;
}

admission_decision decide_admission(const admission_inputs& in, const admission_options& options) {
    const auto spare = target_time_left(in, options) - in.duration;
    const bool late = spare <= millis{};
    const auto longest =
        late ? in.deadline_left * options.late_share : std::min(spare, in.deadline_left * 0.5);
    admission_decision result{.late = late, .retry_after = retry_after(in, options)};
    const auto needed =
        millis::from_value(static_cast<double>(in.ahead) / std::max(1.0, in.drained_per_second) * 1000);
    result.waits = longest > millis{} && (!late || in.ahead == 0 || needed <= longest);
    result.max_wait = longest;
    return result;
}

} // namespace berylcrank
