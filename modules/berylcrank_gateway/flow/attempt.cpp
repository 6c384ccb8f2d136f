#include "modules/berylcrank_gateway/flow/attempt.h"

namespace berylcrank {

namespace {

// Weight of a shed request in the failure share; low because the cause is often the load and not the
// upstream.
constexpr double shed_weight = 0.3;

constexpr std::size_t max_refusal_bytes = 65536; // of the body of a response that is not forwarded

} // namespace

attempt::attempt(node_state& node, attempt_owner& owner, upstream_ptr target, options opts)
    : node_(node), owner_(&owner), target_(std::move(target)), options_(std::move(opts)),
      upstream_run_(target_->entry.start_time_ms), started_(node.time.now()), last_activity_(started_) {}

void attempt::start(std::string request, bool no_body) {
    self_reference_ = shared_from_this();
    slot_ = in_flight_slot(node_.loads, target_->number);
    if (target_->cold_until > started_) {
        node_.warmups.sent(target_->number, started_);
    }
    connection_ = node_.connections.acquire(connection_key(*target_), target_->entry.address,
                                            connection_pool::max_idle_timeout);
    connection_->call(std::move(request), *this, no_body);
}

void attempt::check_connect_timeout(instant now) {
    if (!ended_ && connection_ && !connection_->connected() &&
        now - started_ > node_.options.connect_timeout) {
        connection_->cancel();
        on_failed(call_failure::not_connected);
    }
}

head_action attempt::classify(const response_head& it) const {
    const auto& names = node_.wire.headers();
    const auto* id = find_header(it.headers, names.request_id);
    if (id != nullptr && *id != options_.request_id) {
        return head_action::discard;
    }
    // Upstreams echo the id. Without it, the response may belong to an earlier request on the connection.
    const bool is_unattributable = id == nullptr && !options_.request_id.empty();
    const bool is_unsigned = it.status < 300 && find_header(it.headers, names.signature) == nullptr;
    return is_unattributable || is_unsigned ? head_action::reject : head_action::accept;
}

head_action attempt::on_head(const response_head& it) {
    const auto now = node_.time.now();
    last_activity_ = now;
    const auto action = classify(it);
    if (action != head_action::accept) {
        const auto* id = find_header(it.headers, node_.wire.headers().request_id);
        node_.metrics.count_event(action == head_action::discard ? "late-response-discarded"
                                                                 : "response-rejected");
        node_.log.line(action == head_action::discard ? "response-discarded" : "response-rejected")
            .field("request", options_.request_id)
            .field("upstream", target_->entry.id)
            .field("status", it.status)
            .field("bears", id == nullptr ? "" : *id)
            .send();
        return action;
    }
    load = node_.apply_response(*target_, it, connection_->connected_at(), now);
    head = it;
    has_head = true;
    not_run = it.status == 421 ||
              (it.status >= 400 && find_header(it.headers, node_.wire.headers().not_run) != nullptr);
    withheld = !not_run && !options_.is_idempotent && states_not_run(it.status);
    if (withheld) {
        log_withheld();
    }
    return action;
}

void attempt::log_withheld() const {
    node_.metrics.count_event("response-withheld");
    node_.log.line("response-withheld")
        .field("request", options_.request_id)
        .field("upstream", target_->entry.id)
        .field("status", head.status)
        .send();
}

void attempt::on_body(std::string_view bytes) {
    last_activity_ = node_.time.now();
    received_ += bytes.size();
    if (not_run || withheld) {
        if (received_ > max_refusal_bytes) { // the head is the answer; the body may never end
            connection_->cancel();
            on_done(false);
        }
        return;
    }
    body.append(bytes);
    if (owner_ != nullptr) {
        owner_->on_progress(*this);
    }
}

void attempt::on_done(bool reusable) {
    complete = true;
    if (reusable) {
        node_.connections.release(connection_key(*target_), connection_);
    }
    if (not_run) {
        count_outcome(false, shed_weight);
        if (head.status == 421) {
            node_.loads.unreachable(target_->number, node_.time.now());
        }
        end(send_result::not_run);
        return;
    }
    count_outcome(head.status < 500, 1);
    node_.loads.reachable(target_->number, connection_->connected_at(), node_.time.now());
    end(withheld ? send_result::unknown : send_result::response);
}

void attempt::on_failed(call_failure reason) {
    failure_ = reason;
    const auto now = node_.time.now();
    if (reason == call_failure::not_connected) {
        node_.loads.unreachable(target_->number, now);
        node_.connections.close_idle(connection_key(*target_));
        end(send_result::not_run);
        return;
    }
    count_outcome(false, 1);
    end(send_result::unknown);
}

void attempt::count_outcome(bool good, double weight) {
    const outcome_count it{.good = good ? weight : 0, .bad = good ? 0 : weight};
    node_.loads.outcome(target_->number, it, node_.time.now(), true);
}

void attempt::cancel() {
    owner_ = nullptr;
    if (ended_) {
        return;
    }
    log_unfinished("attempt-cancelled");
    connection_->cancel();
    end(send_result::unknown);
}

void attempt::log_unfinished(std::string_view event) const {
    node_.log.line(event)
        .field("request", options_.request_id)
        .field("upstream", target_->entry.id)
        .field("running_ms", (node_.time.now() - started_).count())
        .field("received", static_cast<std::uint64_t>(received_))
        .field("connection", connection_ ? connection_->activity() : "none")
        .field("reused", connection_ && connection_->reused())
        .send();
}

void attempt::end(send_result result) {
    if (ended_) {
        return;
    }
    ended_ = true;
    result_ = result;
    slot_.release();
    const auto self = std::move(self_reference_);
    if (owner_ != nullptr) {
        owner_->on_end(*this);
    }
}

} // namespace berylcrank
