#include "modules/berylcrank_node/request/order_attempt.h"

#include "modules/berylcrank_node/request/order_headers.h"

namespace berylcrank {

namespace {

constexpr int http_bad_gateway = 502;
constexpr int http_gateway_timeout = 504;

int status_of(attempt_end it) {
    return it == attempt_end::timed_out || it == attempt_end::stalled ? http_gateway_timeout
                                                                      : http_bad_gateway;
}

} // namespace

void order_attempt::call_state::resume() {
    std::shared_ptr<upstream_call> it;
    {
        const lock_guard hold(guard);
        it = call;
        resume_on_set = it == nullptr;
    }
    if (it != nullptr) {
        it->resume();
    }
}

void order_attempt::call_state::end() {
    const lock_guard hold(guard);
    call = nullptr;
    is_done = true;
}

void order_attempt::set_call(const std::shared_ptr<upstream_call>& it) {
    bool resume = false;
    {
        const lock_guard hold(call_->guard);
        if (call_->is_done) {
            return;
        }
        call_->call = it;
        resume = call_->resume_on_set;
    }
    if (resume) {
        it->resume();
    }
}

bool order_attempt::may_send(const connection_info& it) {
    if (dispatched_.has_value()) {
        // The client is about to send the order a second time.
        second_send_requested_ = true;
        return false;
    }
    if (!target_->may_send(it)) {
        return false;
    }
    dispatched_ = execution_->begin_dispatch();
    return dispatched_.has_value();
}

bool order_attempt::on_head(const http_response_head& head, std::optional<std::uint64_t> content_bytes) {
    target_->report_load(find_header(head.headers, "Berylcrank-Load").value_or(""));
    head_ = head;
    if (content_bytes.value_or(0) > execution_->limits().recordable_bytes) {
        start_stream(content_bytes);
    }
    return true;
}

bool order_attempt::on_body(std::span<const char> bytes) {
    if (stream_ != nullptr) {
        // If the caller has disconnected, the response is still read to its end to learn the verdict.
        return execution_->responder()->is_disconnected() || stream_->push(bytes);
    }
    if (body_.size() + bytes.size() > execution_->limits().recordable_bytes && !body_dropped_) {
        start_stream(std::nullopt);
        if (stream_ != nullptr) {
            return on_body(bytes);
        }
    }
    buffer_body(bytes);
    return true;
}

void order_attempt::buffer_body(std::span<const char> bytes) {
    if (body_dropped_) {
        return;
    }
    body_dropped_ = body_.size() + bytes.size() > execution_->limits().max_buffered_bytes ||
                    !reservation_.reserve(bytes.size());
    if (body_dropped_) {
        std::string().swap(body_);
        reservation_.release();
    } else {
        body_.append(bytes.data(), bytes.size());
    }
}

void order_attempt::on_done(const attempt_result& it) {
    call_->end();
    const auto verdict = determine_verdict(it);
    auto reported = it;
    reported.verdict = verdict;
    const auto upstream = target_->upstream();
    target_->finish(reported);
    if (!dispatched_.has_value()) {
        if (it.end == attempt_end::denied) {
            execution_->on_denied(upstream);
            return;
        }
        // Only a client that is shutting down cancels an order, and it accepts no further attempt.
        execution_->on_not_sent(upstream, it.end != attempt_end::cancelled);
        return;
    }
    if (verdict == run_verdict::not_run) {
        execution_->on_not_run(*dispatched_, upstream,
                               find_header(it.shed_head.headers, "Berylcrank-Retry") != "no");
        return;
    }
    execution_->on_finished(*dispatched_, make_response(it, verdict));
    if (stream_ != nullptr) {
        verdict == run_verdict::ran ? stream_->finish() : stream_->fail();
    }
}

run_verdict order_attempt::determine_verdict(const attempt_result& it) const {
    if (!dispatched_.has_value()) {
        return run_verdict::not_run;
    }
    if (it.end == attempt_end::complete && it.verdict == run_verdict::ran && head_.has_value()) {
        return run_verdict::ran;
    }
    // Once `may_send` has allowed the attempt, only the upstream's own statement proves that the order did
    // not run. Even that proves nothing if the client was about to send a second copy.
    const bool is_proven = it.end == attempt_end::shed && it.verdict == run_verdict::not_run &&
                           !second_send_requested_ && !head_.has_value();
    return is_proven ? run_verdict::not_run : run_verdict::may_have_run;
}

void order_attempt::start_stream(std::optional<std::uint64_t> content_bytes) {
    stream_ = execution_->responder()->start_stream(
        {.status = head_->status, .headers = to_http(order_response_headers(*head_))}, content_bytes);
    if (stream_ == nullptr) {
        return;
    }
    stream_->set_on_space([state = call_] { state->resume(); });
    execution_->responder()->set_on_disconnect([state = call_] { state->resume(); });
    if (!body_.empty()) {
        stream_->push(body_);
        std::string().swap(body_);
        reservation_.release();
    }
}

order_response order_attempt::make_response(const attempt_result& it, run_verdict verdict) {
    if (verdict != run_verdict::ran) {
        return {
            .verdict = verdict, .status = status_of(it.end), .reason = "no whole answer from the upstream"};
    }
    order_response out{.verdict = verdict,
                       .status = head_->status,
                       .headers = order_response_headers(*head_),
                       .body = std::move(body_)};
    return stream_ != nullptr || body_dropped_ ? without_body(out) : out;
}

} // namespace berylcrank
