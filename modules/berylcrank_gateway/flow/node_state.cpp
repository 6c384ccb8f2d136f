#include "modules/berylcrank_gateway/flow/node_state.h"

#include <absl/strings/numbers.h>
#include <algorithm>

namespace berylcrank {

namespace {

constexpr millis max_warm_up{86400000}; // longer times are malformed

} // namespace

suspect_table::options node_state::suspect_options() const {
    constexpr std::uint64_t steps = 1024;
    auto result = options.suspects;
    result.trial_delay = options.trial_spread *
                         (static_cast<double>(peers.self_number() % steps) / static_cast<double>(steps));
    return result;
}

bool node_state::apply_config(deployment_config config) {
    auto list = config.accounts;
    if (!routes.apply(std::move(config))) {
        return false;
    }
    accounts.replace(std::move(list));
    return true;
}

access_result node_state::check_access(const header_list& headers, const route_entry* route) const {
    if (!accounts.required()) {
        return {.allowed = true};
    }
    const std::string* value = nullptr;
    int count = 0;
    for (const auto& [field, text] : headers) {
        if (header_names_equal(field, wire.headers().authorization)) {
            value = &text;
            ++count;
        }
    }
    const auto key = count == 1 ? wire.read_key(*value) : std::nullopt;
    const auto* account = key ? accounts.find(*key) : nullptr;
    return {.allowed = account != nullptr || (route != nullptr && route->is_public), .account = account};
}

std::optional<load_snapshot> node_state::apply_response(upstream& it, const response_head& head,
                                                        instant connected_at, instant now) {
    if (head.status == 421) {
        return std::nullopt; // sent by another upstream, which has the address now
    }
    apply_leaving(it, head.headers, now);
    if (head.status == 503) {
        apply_retry_after(it, head.headers, now);
    }
    const auto* value = find_header(head.headers, wire.headers().load);
    if (value == nullptr) {
        return std::nullopt;
    }
    auto report = wire.read_load(*value);
    if (!report) {
        metrics.count_event("unreadable-load");
        log.line("load-unreadable").field("upstream", it.entry.id).send();
        return std::nullopt;
    }
    report->at = now;
    report->connected_at = connected_at;
    loads.report(it.number, *report, true);
    return report;
}

void node_state::apply_leaving(upstream& it, const header_list& headers, instant now) {
    const auto* value = find_header(headers, wire.headers().leaving);
    if (value == nullptr || !wire.read_leaving(*value) || !mark_leaving(it)) {
        return;
    }
    announced_leaves.push_back(it.number);
    announced_leaves_until = now + leave_repeat_time;
}

void node_state::apply_warm_up(upstream& it, const header_list& headers, instant sent, instant now) {
    const auto* value = find_header(headers, wire.headers().warm_up_left);
    double ms = 0;
    if (value != nullptr && (!absl::SimpleAtod(*value, &ms) || !(ms >= 0 && ms <= max_warm_up.value()))) {
        metrics.count_event("unreadable-warm-up");
        log.line("warm-up-unreadable").field("upstream", it.entry.id).send();
        return;
    }
    if (sent >= it.cold_updated_at) {
        upstream_directory::set_cold(it, millis::from_value(ms), now);
    }
}

void node_state::on_resumed(instant now) {
    membership_valid_from = now + peer_table::domain_timeout;
    peer_warm_ups_valid_from = now + resume_read_time;
    start.begin(now);
    for (const auto& [name, service] : routes.services()) {
        if (service->warm_up_per_second <= 0) {
            continue;
        }
        for (const auto& it : upstreams.of_service(name)) {
            upstream_directory::set_unverified(*it, service->warm_up, now);
        }
    }
}

void node_state::apply_peer_warm_up(upstream& it, millis remaining, instant now) const {
    if (now >= peer_warm_ups_valid_from || now + remaining > it.cold_until) {
        upstream_directory::set_cold(it, remaining, now);
    }
}

bool node_state::has_survived(const upstream_loss& it) const {
    // The loss may be noticed when the upstream already runs again, e.g. at the request's deadline. So only
    // connections from before the send show that it has run all the time.
    if (!loads.ran_through(it.upstream, it.sent_at, it.lost_at)) {
        return false;
    }
    const auto target = upstreams.find(it.upstream);
    log.line("loss-survived")
        .field("upstream", target ? target->entry.id : "")
        .field("lost_ms_ago", (time.now() - it.lost_at).count())
        .send();
    return true;
}

bool node_state::mark_leaving(upstream& it) {
    if (!upstreams.announce_leave(it)) {
        return false;
    }
    metrics.count_event("upstream-leaving");
    log.line("upstream-leaving").field("upstream", it.entry.id).send();
    return true;
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
        log.line("retry-after-unreadable").field("upstream", it.entry.id).send();
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
