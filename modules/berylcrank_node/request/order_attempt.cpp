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
        resume_when_known = it == nullptr;
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
        resume = call_->resume_when_known;
    }
    if (resume) {
        it->resume();
    }
}

bool order_attempt::may_send(const connection_info& it) {
    if (dispatched_.has_value()) {
        // The client is about to send the order a second time.
        asked_again_ = true;
        return false;
    }
    if (!target_->may_send(it)) {
        return false;
    }
    dispatched_ = run_->begin_dispatch();
    return dispatched_.has_value();
}

bool order_attempt::on_head(const http_response_head& head, std::optional<std::uint64_t> content_bytes) {
    target_->report_load(find_header(head.headers, "Berylcrank-Load").value_or(""));
    head_ = head;
    if (content_bytes.value_or(0) > run_->limits().recordable_bytes) {
        start_stream(content_bytes);
    }
    return true;
}

bool order_attempt::on_body(std::span<const char> bytes) {
    if (stream_ != nullptr) {
        // An order whose caller left is read to its end, so that its verdict is known.
        return run_->reply()->is_gone() || stream_->push(bytes);
    }
    if (body_.size() + bytes.size() > run_->limits().recordable_bytes && !too_large_) {
        start_stream(std::nullopt);
        if (stream_ != nullptr) {
            return on_body(bytes);
        }
    }
    hold(bytes);
    return true;
}

void order_attempt::hold(std::span<const char> bytes) {
    if (too_large_) {
        return;
    }
    too_large_ = body_.size() + bytes.size() > run_->limits().held_bytes || !held_.add(bytes.size());
    if (too_large_) {
        std::string().swap(body_);
        held_.release();
    } else {
        body_.append(bytes.data(), bytes.size());
    }
}

void order_attempt::on_done(const attempt_result& it) {
    call_->end();
    const auto verdict = judge(it);
    auto reported = it;
    reported.verdict = verdict;
    const auto upstream = target_->upstream();
    target_->finish(reported);
    if (!dispatched_.has_value()) {
        if (it.end == attempt_end::denied) {
            run_->on_denied(upstream);
            return;
        }
        // Only the end of the client itself cancels an order; it takes no other attempt.
        run_->on_not_sent(upstream, it.end != attempt_end::cancelled);
        return;
    }
    if (verdict == run_verdict::not_run) {
        run_->on_not_run(*dispatched_, upstream,
                         find_header(it.shed_head.headers, "Berylcrank-Retry") != "no");
        return;
    }
    run_->on_ended(*dispatched_, answer_for(it, verdict));
    if (stream_ != nullptr) {
        verdict == run_verdict::ran ? stream_->finish() : stream_->fail();
    }
}

run_verdict order_attempt::judge(const attempt_result& it) const {
    if (!dispatched_.has_value()) {
        return run_verdict::not_run;
    }
    if (it.end == attempt_end::complete && it.verdict == run_verdict::ran && head_.has_value()) {
        return run_verdict::ran;
    }
    // After `may_send` allowed the attempt, only the upstream's own statement proves that it did not run; not
    // even that if a second copy was about to be sent.
    const bool is_proven = it.end == attempt_end::shed && it.verdict == run_verdict::not_run &&
                           !asked_again_ && !head_.has_value();
    return is_proven ? run_verdict::not_run : run_verdict::may_have_run;
}

void order_attempt::start_stream(std::optional<std::uint64_t> content_bytes) {
    stream_ = run_->reply()->start_stream(
        {.status = head_->status, .headers = to_http(answered_headers(*head_))}, content_bytes);
    if (stream_ == nullptr) {
        return;
    }
    stream_->set_on_space([state = call_] { state->resume(); });
    run_->reply()->set_on_disconnect([state = call_] { state->resume(); });
    if (!body_.empty()) {
        stream_->push(body_);
        std::string().swap(body_);
        held_.release();
    }
}

order_response order_attempt::answer_for(const attempt_result& it, run_verdict verdict) {
    if (verdict != run_verdict::ran) {
        return {
            .verdict = verdict, .status = status_of(it.end), .reason = "no whole answer from the upstream"};
    }
    order_response out{.verdict = verdict,
                       .status = head_->status,
                       .headers = answered_headers(*head_),
                       .body = std::move(body_)};
    return stream_ != nullptr || too_large_ ? without_body(out) : out;
}

} // namespace berylcrank
