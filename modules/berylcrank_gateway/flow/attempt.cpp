#include "modules/berylcrank_gateway/flow/attempt.h"

namespace berylcrank {

namespace {

// Weight of a shed request in the failure share; low because the cause is often the load and not the
// upstream.
constexpr double shed_weight = 0.3;

} // namespace

attempt::attempt(node_state& node, attempt_owner& owner, upstream_ptr target, std::string request_id)
    : node_(node), owner_(&owner), target_(std::move(target)), request_id_(std::move(request_id)),
      started_(node.time.now()), last_activity_(started_) {}

void attempt::start(std::string request, bool no_body) {
    self_reference_ = shared_from_this();
    counted_in_flight_ = true;
    node_.loads.sent(target_->number);
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

bool attempt::on_head(const response_head& it) {
    const auto& names = node_.wire.headers();
    const auto now = node_.time.now();
    last_activity_ = now;
    if (const auto* text = find_header(it.headers, names.load)) {
        if (auto report = node_.wire.read_load(*text)) {
            report->at = now;
            node_.loads.report(target_->number, *report, true);
            load = report;
        }
    }
    const auto* id = find_header(it.headers, names.request_id);
    if (id != nullptr && *id != request_id_) {
        node_.metrics.count_event("late-response-discarded");
        node_.log.line("response-discarded")
            .field("request", request_id_)
            .field("upstream", target_->entry.id)
            .field("bears", *id)
            .send();
        return false;
    }
    head = it;
    has_head = true;
    not_run = it.status == 421 || find_header(it.headers, names.not_run) != nullptr;
    return true;
}

void attempt::on_body(std::string_view bytes) {
    last_activity_ = node_.time.now();
    if (not_run) {
        return;
    }
    body.append(bytes);
    received_ += bytes.size();
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
    node_.loads.reachable(target_->number);
    end(send_result::response);
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
    connection_->cancel();
    end(send_result::unknown);
}

void attempt::end(send_result result) {
    if (ended_) {
        return;
    }
    ended_ = true;
    result_ = result;
    if (counted_in_flight_) {
        node_.loads.ended(target_->number);
    }
    const auto self = std::move(self_reference_);
    if (owner_ != nullptr) {
        owner_->on_end(*this);
    }
}

} // namespace berylcrank
