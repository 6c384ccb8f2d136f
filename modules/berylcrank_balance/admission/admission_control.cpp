#include "modules/berylcrank_balance/admission/admission_control.h"

#include <algorithm>

namespace berylcrank {

millis retry_after(const admission_inputs& in, const admission_options& options) {
    const double rate = std::max(1.0, in.drained_per_second);
    const auto drained = millis::from_value(static_cast<double>(in.ahead + 1) / rate * 1000);
    const auto base = std::clamp(drained, options.min_retry_after, options.max_retry_after);
    return base * (1 + in.random);
}

std::size_t max_queue_length(double drained_per_second, millis max_wait) {
    return std::max<std::size_t>(1, static_cast<std::size_t>(drained_per_second * max_wait.value() / 1000));
}

millis target_time_left(const admission_inputs& in, const admission_options& options) {
    const auto target = in.latency_target > millis{} ? in.latency_target : options.default_target;
    return target * options.target_share - in.prior_wait - in.since_received;
}

admission_decision decide_admission(const admission_inputs& in, const admission_options& options) {
    const auto slack = target_time_left(in, options) - in.duration;
    const bool late = slack <= millis{};
    const auto wait_limit =
        late ? in.deadline_left * options.late_share : std::min(slack, in.deadline_left * 0.5);
    admission_decision result{.late = late, .retry_after = retry_after(in, options)};
    const auto drain_time =
        millis::from_value(static_cast<double>(in.ahead) / std::max(1.0, in.drained_per_second) * 1000);
    result.waits = wait_limit > millis{} && (!late || in.ahead == 0 || drain_time <= wait_limit);
    result.max_wait = wait_limit;
    return result;
}

} // namespace berylcrank
