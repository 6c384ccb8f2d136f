#include "modules/berylcrank_config/state/freshness.h"

namespace berylcrank {

freshness_decision decide_freshness(const freshness_inputs& it) {
    const auto is_recent = [&](const std::optional<instant>& at) {
        return at && it.now - *at <= it.isolation_limit;
    };
    if (is_recent(it.log_end_read) || is_recent(it.peer_log_end_confirmed)) {
        return {freshness::fresh, false};
    }
    if (is_recent(it.log_refused) && (!is_recent(it.log_responded) || *it.log_refused >= *it.log_responded)) {
        return {freshness::log_down, false};
    }
    if (is_recent(it.log_responded)) {
        return {freshness::catching_up, it.was_stopped};
    }
    if (2 * it.reachable_members >= it.other_members) {
        return {freshness::log_down, false};
    }
    return {freshness::isolated, true};
}

std::string_view to_string(freshness it) {
    switch (it) {
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
