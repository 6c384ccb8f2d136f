#include "modules/berylcrank_gateway/flow/request_flow.h"

#include "modules/berylcrank_gateway/flow/gateway.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace berylcrank {

namespace {

constexpr int max_connect_failures = 4;  // unreachable upstreams after which a request is no longer retried
constexpr millis min_time_for_retry{30}; // a request with less time left is not retried

} // namespace

std::size_t request_flow::open_attempts() const {
    return static_cast<std::size_t>(
        std::count_if(attempts_.begin(), attempts_.end(), [](const auto& it) { return !it->ended(); }));
}

void request_flow::cancel_others(const attempt& chosen) {
    for (const auto& it : attempts_) {
        if (it.get() != &chosen) {
            it->cancel();
        }
    }
}

hedge_inputs request_flow::make_hedge_inputs(const attempt& open, instant now) const {
    const auto in = make_admission_inputs(now, 0);
    const auto* load = node_.loads.find(open.target().number);
    return {.running = now - open.started(),
            .duration = in.duration,
            .slowness = load == nullptr ? 1 : load_tracker::slowness(*load, node_.loads.mean_slowness(), now),
            .unreachable = load != nullptr && load->down_until > now,
            .silent = open.has_head && is_silent(open, now),
            .requests_queued =
                node_.waiting.size() > 0 || node_.shares.has_remote_demand(service_number(service_), now),
            .target_left = target_time_left(in, node_.options.admission),
            .deadline_left = in.deadline_left};
}

void request_flow::hedge_if_due(instant now) {
    if (!is_idempotent(route_->kind) || hedge_over_limit_ || open_attempts() != 1 || !may_retry(now)) {
        return;
    }
    const auto open =
        *std::find_if(attempts_.begin(), attempts_.end(), [](const auto& it) { return !it->ended(); });
    const auto state = make_hedge_inputs(*open, now);
    if (open->has_head && !state.silent) {
        return;
    }
    if (!should_hedge(state, node_.options.hedges)) {
        return;
    }
    const auto picked = pick(!state.unreachable && !state.silent && state.target_left >= state.duration);
    if (!picked.it) {
        return;
    }
    if (!may_use(now)) {
        // A later call sends the second attempt.
        request_token([this](const usage_decision& it) { hedge_over_limit_ = !it.token; });
        return;
    }
    if (!node_.budget(service_).take(node_.peers.max_known_count(), now)) {
        return;
    }
    node_.metrics.count_event("hedge");
    node_.log.line("hedged")
        .field("request", id_)
        .field("upstream", open->target().entry.id)
        .field("running_ms", state.running.count())
        .field("usual_ms", state.duration.count())
        .field("slowness", state.slowness)
        .field("unreachable", state.unreachable)
        .field("silent", state.silent)
        .field("target_left_ms", state.target_left.count())
        .send();
    send(picked);
}

bool request_flow::may_retry(instant now) {
    if (caller_->disconnected() || deadline_ - now < min_time_for_retry ||
        connect_failures_ > max_connect_failures || (gateway_.closing() && !stop_allows_send(now)) ||
        !has_access()) {
        return false;
    }
    return sent_count_ == 0 || (sent_count_ < route_->max_attempts && suspicion_allows_retry());
}

void request_flow::retry_or(const std::function<void()>& fallback, std::string_view reason) {
    const auto now = node_.time.now();
    if (open_attempts() > 0) {
        return; // the other attempt may still succeed
    }
    if (!may_have_run_ && refuse_without_access()) {
        return;
    }
    if (!may_retry(now)) {
        fallback();
        return;
    }
    const auto picked = pick();
    if (picked.it && !may_use(now)) {
        request_token([this, fallback, reason = std::string(reason)](const usage_decision& it) {
            if (it.token) {
                retry_or(fallback, reason);
            } else if (it.over_limit && !may_have_run_) {
                refuse_without_token(it);
            } else {
                fallback();
            }
        });
        return;
    }
    if (!picked.it || (sent_count_ > 0 && !node_.budget(service_).take(node_.peers.max_known_count(), now))) {
        node_.metrics.count_event(picked.it ? "resend-denied" : "resend-no-room");
        fallback();
        return;
    }
    node_.metrics.count_event(absl::StrCat("resend-", std::string(reason)));
    send(picked);
}

} // namespace berylcrank
