#include "modules/berylcrank_gateway/flow/node_state.h"

#include <algorithm>

namespace berylcrank {

void node_state::apply_leaving(upstream& it, const header_list& headers, instant now) {
    const auto* value = find_header(headers, wire.headers().leaving);
    if (value == nullptr || !wire.read_leaving(*value) || !upstreams.announce_leave(it)) {
        return;
    }
    announced_leaves.push_back(it.number);
    announced_leaves_until = now + leave_repeat_time;
    metrics.count_event("upstream-leaving");
    log.line("upstream-leaving").field("upstream", it.entry.id).send();
}

void node_state::apply_retry_after(upstream& it, const header_list& headers, instant now) {
    const auto& name = wire.headers().retry_after;
    millis longest;
    bool malformed = false;
    for (const auto& [field, value] : headers) {
        if (header_names_equal(field, name)) {
            const auto parsed = wire.read_retry_after(value);
            malformed = malformed || !parsed;
            longest = std::max(longest, parsed.value_or(millis{}));
        }
    }
    if (malformed) {
        metrics.count_event("unreadable-retry-after");
    }
    if (longest <= millis{}) {
        return;
    }
    if (it.paused_until <= now) {
        metrics.count_event("upstream-paused");
        log.line("upstream-paused").field("upstream", it.entry.id).field("for_ms", longest.count()).send();
    }
    it.paused_until = std::max(it.paused_until, now + longest);
}

} // namespace berylcrank
