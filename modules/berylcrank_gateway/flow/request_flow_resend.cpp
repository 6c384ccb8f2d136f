#include "modules/berylcrank_gateway/flow/request_flow.h"

#include "modules/berylcrank_gateway/flow/gateway.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace berylcrank {

namespace {

constexpr int max_unreached = 4;         // upstreams that could not be reached before a request is given up
constexpr millis least_left_to_send{30}; // a request with less time left is not sent again

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

hedge_inputs request_flow::hedge_state(const attempt& open, instant now) const {
    const auto in = admission(now, 0);
    const auto* load = node_.loads.find(open.target().number);
    return {.running = now - open.started(),
            .duration = in.duration,
            .slowness = load == nullptr ? 1 : load_tracker::slowness(*load, node_.loads.mean_slowness(), now),
            .unreachable = load != nullptr && load->down_until > now,
            .requests_queued =
                node_.waiting.size() > 0 || node_.shares.has_remote_demand(service_number(service_), now),
            .target_left = target_time_left(in, node_.options.admission),
            .deadline_left = in.deadline_left};
}

void request_flow::hedge_if_due(instant now) {
    if (!is_idempotent(route_->kind) || open_attempts() != 1 || !may_send_again(now)) {
        return;
    }
    const auto open =
        *std::find_if(attempts_.begin(), attempts_.end(), [](const auto& it) { return !it->ended(); });
    if (open->has_head) {
        return;
    }
    const auto state = hedge_state(*open, now);
    if (!should_hedge(state, node_.options.hedges)) {
        return;
    }
    const auto picked = pick(!state.unreachable && state.target_left >= state.duration);
    if (!picked.it || !node_.budget(service_).take(node_.peers.max_live_count(), now)) {
        return;
    }
    node_.metrics.event("hedge");
    node_.log.line("hedged")
        .field("request", id_)
        .field("upstream", open->target().entry.id)
        .field("running_ms", state.running.count())
        .field("usual_ms", state.duration.count())
        .field("slowness", state.slowness)
        .field("unreachable", state.unreachable)
        .field("target_left_ms", state.target_left.count())
        .send();
    send(picked);
}

bool request_flow::may_send_again(instant now) {
    if (caller_->gone() || deadline_ - now < least_left_to_send || unreached_ > max_unreached) {
        return false;
    }
    return sends_ == 0 || sends_ < route_->max_attempts;
}

void request_flow::send_again_or(const std::function<void()>& otherwise, std::string_view reason) {
    const auto now = node_.time.now();
    if (open_attempts() > 0) {
        return; // the other attempt may still bring a response
    }
    if (!may_send_again(now)) {
        otherwise();
        return;
    }
    const auto picked = pick();
    if (!picked.it || (sends_ > 0 && !node_.budget(service_).take(node_.peers.max_live_count(), now))) {
        node_.metrics.event(picked.it ? "resend-denied" : "resend-no-room");
        otherwise();
        return;
    }
    node_.metrics.event(absl::StrCat("resend-", std::string(reason)));
    send(picked);
}

} // namespace berylcrank
