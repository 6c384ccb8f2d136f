#include "modules/berylcrank_gateway/flow/request_flow.h"

#include "modules/berylcrank_gateway/flow/gateway.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <utility>

namespace berylcrank {

namespace {

// A caller's time limit ends before the node's deadline by the time that the request took to arrive.
constexpr millis caller_margin{100};

} // namespace

void request_flow::refuse(std::string_view reason, std::optional<millis> after) {
    const auto now = node_.time.now();
    if (!after) {
        after = retry_after(make_admission_inputs(now, node_.waiting.ahead_of(service_, priority_, true)),
                            node_.options.admission);
        if (const auto pause_end = node_.upstreams.paused_until(service_, now)) {
            after = std::max(*after, *pause_end - now);
        }
        node_.last_refusal = now;
    }
    respond_refusal(503, reason, *after);
}

void request_flow::respond_refusal(int status, std::string_view reason, millis after) {
    const auto now = node_.time.now();
    node_.log.line("refused")
        .field("request", id_)
        .field("route", route_->name)
        .field("reason", reason)
        .field("account", account_.value_or(""))
        .field("status", status)
        .field("retry_after_ms", after.count())
        .field("waiting", static_cast<std::uint64_t>(node_.waiting.size()))
        .field("held_ms", (now - caller_->received).count())
        .send();
    caller_->respond(status, reason_phrase(status),
                     {{node_.wire.headers().retry_after, absl::StrFormat("%.3f", after.value() / 1000)}}, "");
    finish(status == 429 ? "over-limit" : "refused", status);
}

bool request_flow::stop_allows_send(instant now) const {
    const auto in = make_admission_inputs(now, node_.waiting.ahead_of(service_, priority_, false));
    const auto wait = in.drained_per_second > 0
                          ? millis{1000} * (static_cast<double>(in.ahead) / in.drained_per_second)
                          : millis{};
    return gateway_.stop_allows(
        {.deadline_left = in.deadline_left, .queue_wait = wait, .duration = in.duration}, now);
}

bool request_flow::refuse_if_stopping() {
    if (!gateway_.closing() || stop_allows_send(node_.time.now())) {
        return false;
    }
    node_.metrics.count_event("stop-refused");
    refuse("stopping", millis{}); // other nodes can take it at once
    return true;
}

void request_flow::fail(int status, std::string_view reason) {
    node_.log.line("failed")
        .field("request", id_)
        .field("route", route_->name)
        .field("status", status)
        .field("reason", reason)
        .field("tries", sent_count_)
        .field("held_ms", (node_.time.now() - caller_->received).count())
        .send();
    caller_->respond(status, reason_phrase(status), {}, "");
    finish(reason, status);
}

void request_flow::check_timeouts(instant now) {
    if (done_) {
        return;
    }
    const auto self = shared_from_this();
    const auto attempts = attempts_;
    for (const auto& it : attempts) {
        it->check_connect_timeout(now);
    }
    if (abandoned_ && now >= deadline_) {
        finish("abandoned", 0); // the upstream stops at the deadline as well
    }
    if (done_ || abandoned_) {
        return;
    }
    if (waiting_ && (refuse_without_access() || refuse_if_stopping())) {
        return;
    }
    if (streamed_attempt_ != nullptr) {
        end_if_silent(now);
        return;
    }
    if (now < deadline_) {
        hedge_if_due(now);
        return;
    }
    end_at_deadline(now);
}

bool request_flow::is_silent(const attempt& it, instant now) const {
    const bool waits_for_caller = streamed_attempt_ == &it && caller_->unsent_bytes() > 0;
    return !waits_for_caller && now - it.last_activity() >= node_.options.silence_limit;
}

void request_flow::end_if_silent(instant now) {
    if (now < deadline_ || !is_silent(*streamed_attempt_, now)) {
        return;
    }
    node_.loads.outcome(streamed_attempt_->target().number, {.bad = 1}, now, true);
    finish("stalled", streamed_attempt_->head.status);
    caller_->abort();
}

void request_flow::end_at_deadline(instant now) {
    for (const auto& it : attempts_) {
        if (!it->ended() && it->has_forwardable_head() && !is_silent(*it, now)) {
            const auto keep = it;
            streamed_attempt_ = it.get(); // a response that has begun is forwarded even if it is late
            cancel_others(*keep);
            begin_response(keep->head, keep->head.length);
            on_progress(*keep);
            return;
        }
    }
    if (sent_count_ == 0) {
        refuse("out-of-time");
        return;
    }
    report_unresponsive(now);
    const auto failed = std::find_if(attempts_.begin(), attempts_.end(), [](const auto& it) {
        return it->complete && it->has_forwardable_head();
    });
    if (failed != attempts_.end()) {
        const auto keep = *failed;
        deliver_whole(*keep, "upstream-error"); // no better response has arrived in time
    } else {
        fail(504, "out-of-time");
    }
}

void request_flow::report_unresponsive(instant now) {
    for (const auto& it : attempts_) {
        if (it->ended() || (it->has_head && !is_silent(*it, now))) {
            continue;
        }
        node_.loads.outcome(it->target().number, {.bad = 1}, now, true);
        if (!it->has_head) {
            report_loss(*it, now); // it may have crashed without closing its connections
        }
    }
}

void request_flow::log_unfinished() const {
    for (const auto& it : attempts_) {
        if (!it->ended()) {
            it->log_unfinished("attempt-cut-off");
        }
    }
}

void request_flow::on_caller_disconnected() {
    if (done_) {
        return;
    }
    const auto self = shared_from_this();
    node_.log.line("caller-left").field("request", id_).field("tries", sent_count_).send();
    const auto now = node_.time.now();
    if (deadline_ - now < caller_margin) {
        report_unresponsive(now);
    }
    const bool running =
        std::any_of(attempts_.begin(), attempts_.end(), [](const auto& it) { return !it->ended(); });
    if (running && !is_idempotent(route_->kind)) {
        abandoned_ = true; // the upstream completes the request and the response is dropped
        if (const auto resume = std::exchange(caller_->on_drained, nullptr)) {
            resume();
        }
        return;
    }
    finish("caller-left", 0);
}

void request_flow::cancel_attempts() {
    const auto attempts = std::move(attempts_);
    attempts_.clear();
    for (const auto& it : attempts) {
        it->cancel();
    }
}

void request_flow::finish(std::string_view result, int status) {
    if (done_) {
        return;
    }
    const auto self = shared_from_this();
    done_ = true;
    const auto took = node_.time.now() - caller_->received;
    node_.log.line("answered")
        .field("request", id_)
        .field("route", route_->name)
        .field("result", result)
        .field("status", status)
        .field("tries", sent_count_)
        .field("took_ms", took.value())
        .send();
    node_.metrics.count_response(service_, std::string(result), took.value() / 1000);
    if (waiting_) {
        node_.waiting.erase(number_);
    }
    if (is_trial_) {
        suspicion().on_trial_unused();
    }
    cancel_attempts();
    gateway_.remove_flow(number_);
}

} // namespace berylcrank
