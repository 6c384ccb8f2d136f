#include "modules/berylcrank_config/state/freshness.h"

namespace berylcrank {

freshness_decision decide_freshness(const freshness_inputs& inputs) {
    const auto is_recent = [&](const std::optional<instant>& at) {
        return at && inputs.now - *at <= inputs.isolation_limit;
    };
    if (is_recent(inputs.log_end_read) || is_recent(inputs.peer_log_end_confirmed)) {
        return {freshness::fresh, false};
    }
    if (is_recent(inputs.log_refused) &&
        (!is_recent(inputs.log_responded) || *inputs.log_refused >= *inputs.log_responded)) {
        return {freshness::log_down, false};
    }
    if (is_recent(inputs.log_responded)) {
        return {freshness::catching_up, inputs.was_stopped};
    }
    if (2 * inputs.reachable_members >= inputs.other_members) {
        return {freshness::log_down, false};
    }
    return {freshness::isolated, true};
}

std::string_view to_string(freshness state) {
    switch (state) {
    case freshness::fresh:
        return "fresh";
    case freshness::log_down:
        return "log-down";
    case freshness::catching_up:
        return "catching-up";
    case freshness::isolated:
        return "isolated";
    }
    return "isolated";
}

} // namespace berylcrank
