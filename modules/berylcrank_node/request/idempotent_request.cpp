#include "modules/berylcrank_node/request/idempotent_request.h"

#include "modules/berylcrank_node/request/routed_attempt.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace berylcrank {

/** Forwards the events of one attempt to its request. */
class idempotent_request::attempt final : public routed_attempt {
public:
    attempt(std::shared_ptr<idempotent_request> owner, std::unique_ptr<attempt_target> target)
        : routed_attempt(std::move(target), owner->deadline_, owner->flow_.clock_), owner_(std::move(owner)) {
    }

    bool on_body(std::span<const char> bytes) override { return owner_->on_body(bytes); }

protected:
    bool is_active() override { return !owner_->is_disconnected(); }

    bool on_response_head(const http_response_head& head,
                          std::optional<std::uint64_t> content_bytes) override {
        return owner_->on_head(head, content_bytes);
    }

    void on_attempt_end(const attempt_result& it) override { owner_->on_attempt_end(it, upstream()); }

private:
    std::shared_ptr<idempotent_request> owner_;
};

namespace {

std::optional<millis> timeout_of(const http_request& it) {
    const auto text = find_header(it.headers, "Berylcrank-Timeout-Ms");
    std::int64_t ms = 0;
    if (!text || !absl::SimpleAtoi(absl::string_view{text->data(), text->size()}, &ms) || ms < 0) {
        return std::nullopt;
    }
    constexpr std::int64_t day_ms = 86'400'000;
    return millis{std::min(ms, day_ms)};
}

int status_for(attempt_end it) {
    return it == attempt_end::timed_out || it == attempt_end::stalled ? 504 : 502;
}

// Attempts denied by the check before the first byte cost the upstream nothing. Up to this number they do
// not count as attempts.
constexpr unsigned max_denied_attempts = 8;

} // namespace

idempotent_request::idempotent_request(idempotent_flow& flow, idempotent_flow::request it)
    : flow_(flow), request_(std::move(it)) {
    const auto& received = request_.exchange->request();
    auto timeout = timeout_of(received);
    if (request_.request_class == request_class::lookup) {
        const auto max_timeout = request_.timeout.value_or(flow_.options_.lookup_timeout);
        timeout = std::min(timeout.value_or(max_timeout), max_timeout);
    }
    if (timeout) {
        deadline_ = flow_.clock_.now() + *timeout;
    }
    fingerprint_ = request_fingerprint(received.method, request_.path, received.body);
}

void idempotent_request::start() {
    flow_.counters_.requests.fetch_add(1, std::memory_order_relaxed);
    request_.exchange->set_on_disconnect([weak = weak_from_this()] {
        if (const auto it = weak.lock()) {
            it->on_caller_disconnected();
        }
    });
    route(false);
}

void idempotent_request::route(bool is_retry) {
    const auto self = shared_from_this();
    flow_.router_.route(
        {.service = request_.service,
         .request_class = request_.request_class,
         .deadline = deadline_,
         .fingerprint = fingerprint_,
         .excluded = excluded_,
         .is_retry = is_retry},
        [self](std::unique_ptr<attempt_target> target) { self->send(std::move(target)); },
        [self](const attempt_refusal& it) { self->on_route_refusal(it); });
}

void idempotent_request::send(std::unique_ptr<attempt_target> target) {
    std::uint64_t serial = 0;
    {
        const lock_guard hold(mutex_);
        if (is_disconnected_) {
            return;
        }
        serial = ++attempt_serial_;
        call_ = nullptr;
        is_resume_due_ = false;
    }
    ++attempts_;
    after_cancel_ = after_cancel::nothing;
    streamed_before_attempt_ = streamed_;
    auto request = make_request(*target, flow_.clock_.now());
    const auto call = flow_.client_.start(std::move(request),
                                          std::make_shared<attempt>(shared_from_this(), std::move(target)));
    bool is_disconnected = false;
    bool is_resume_due = false;
    {
        const lock_guard hold(mutex_);
        if (serial != attempt_serial_) {
            return; // The attempt has ended in the meantime and the next one has started.
        }
        call_ = call;
        is_disconnected = is_disconnected_;
        is_resume_due = is_resume_due_;
    }
    if (is_disconnected) {
        call->cancel();
    } else if (is_resume_due) {
        call->resume();
    }
}

upstream_request idempotent_request::make_request(const attempt_target& target, instant now) {
    const auto& exchange = request_.exchange;
    const auto& received = exchange->request();
    const bool is_lookup = request_.request_class == request_class::lookup;
    upstream_request it{
        .upstream = target.upstream(),
        .address = target.address(),
        .method = received.method,
        .path = request_.path,
        .headers = forwarded_request_headers(received),
        .body = {exchange, &received.body},
        .request_id = absl::StrCat(flow_.options_.id_prefix, "-", absl::Hex(flow_.last_id_.fetch_add(1) + 1)),
        .stall = flow_.options_.stall};
    auto remaining = deadline_ - now;
    if (deadline_ != instant::never() && is_lookup) {
        it.timeout = std::max(millis{1}, remaining);
    }
    if (const auto limit = target.run_limit()) {
        remaining = std::min(remaining, *limit);
        it.timeout = std::max(millis{1}, std::min(it.timeout.value_or(*limit), *limit));
    }
    if (it.timeout || deadline_ != instant::never()) {
        it.headers.push_back(
            {"Berylcrank-Timeout-Ms", std::to_string(std::max<std::int64_t>(1, remaining.count()))});
    }
    if (stream_) {
        progress_.add_range_headers(it.headers);
    }
    return it;
}

void idempotent_request::on_caller_disconnected() {
    std::shared_ptr<upstream_call> call;
    {
        const lock_guard hold(mutex_);
        is_disconnected_ = true;
        call = call_;
    }
    flow_.counters_.cancelled.fetch_add(1, std::memory_order_relaxed);
    if (call) {
        call->cancel();
    }
}

void idempotent_request::resume_upstream() {
    std::shared_ptr<upstream_call> call;
    {
        const lock_guard hold(mutex_);
        call = call_;
        is_resume_due_ = call == nullptr;
    }
    if (call) {
        call->resume();
    }
}

bool idempotent_request::is_disconnected() {
    const lock_guard hold(mutex_);
    return is_disconnected_;
}

bool idempotent_request::on_head(const http_response_head& head, std::optional<std::uint64_t> content_bytes) {
    if (stream_) {
        const auto match = progress_.check(head, content_bytes);
        if (match != download_progress::match::same) {
            after_cancel_ =
                match == download_progress::match::failed ? after_cancel::try_next : after_cancel::abort;
            return false;
        }
        return true;
    }
    response_ = {.head = {.status = head.status, .headers = forwarded_response_headers(head)}, .body = {}};
    content_bytes_ = content_bytes;
    progress_.begin(head, content_bytes);
    const bool is_head_request = request_.exchange->request().method == "HEAD";
    if (content_bytes.value_or(0) > flow_.options_.max_buffered_bytes && !is_head_request) {
        start_stream();
    } else if (!is_head_request) {
        response_.body.reserve(content_bytes.value_or(0));
    }
    return true;
}

bool idempotent_request::on_body(std::span<const char> bytes) {
    if (!stream_) {
        if (response_.body.size() + bytes.size() <= flow_.options_.max_buffered_bytes) {
            response_.body.append(bytes.data(), bytes.size());
            return true;
        }
        start_stream();
    }
    if (!stream_->push(bytes)) {
        return false;
    }
    streamed_ += bytes.size();
    progress_.advance(bytes.size());
    return true;
}

void idempotent_request::start_stream() {
    if (request_.request_class == request_class::download) {
        deadline_ = instant::never(); // Once a download has begun, only its stall timeout limits it.
    }
    stream_ = request_.exchange->start_response(std::move(response_.head), content_bytes_);
    stream_->set_on_space([weak = weak_from_this()] {
        if (const auto it = weak.lock()) {
            it->resume_upstream();
        }
    });
    if (!response_.body.empty()) {
        stream_->push(response_.body); // An empty buffer accepts any size.
        streamed_ += response_.body.size();
        progress_.advance(response_.body.size());
        response_.body.clear();
    }
}

void idempotent_request::on_attempt_end(const attempt_result& it, const std::string& upstream) {
    if (is_disconnected()) {
        if (stream_) {
            stream_->fail();
        }
        return;
    }
    if (it.end == attempt_end::complete) {
        complete();
        return;
    }
    verdict_ = it.verdict == run_verdict::not_run ? verdict_ : run_verdict::may_have_run;
    if (streamed_ > streamed_before_attempt_) {
        attempts_ = 1;
        excluded_.clear();
    }
    if (it.end != attempt_end::denied) {
        excluded_.push_back(upstream);
    } else if (++denied_attempts_ <= max_denied_attempts) {
        --attempts_;
    }
    const bool is_retry_forbidden = find_header(it.shed_head.headers, "Berylcrank-Retry") == "no";
    const bool is_continuable = !stream_ || (progress_.is_resumable() && !progress_.is_complete() &&
                                             after_cancel_ != after_cancel::abort);
    const bool is_in_time = stream_ || flow_.clock_.now() < deadline_;
    if (is_retry_forbidden || !is_continuable || !is_in_time || attempts_ >= flow_.options_.max_attempts ||
        (it.end == attempt_end::cancelled && after_cancel_ != after_cancel::try_next)) {
        fail(it);
        return;
    }
    (stream_ ? flow_.counters_.resumed : flow_.counters_.retries).fetch_add(1, std::memory_order_relaxed);
    route(it.end != attempt_end::denied);
}

void idempotent_request::complete() {
    if (!stream_ && request_.exchange->request().method == "HEAD") {
        // The response states the length of the body of a GET, but no body follows.
        request_.exchange->start_response(std::move(response_.head), content_bytes_)->finish();
    } else if (!stream_) {
        request_.exchange->respond(std::move(response_));
    } else if (progress_.is_complete()) {
        stream_->finish();
    } else {
        abort_stream();
        return;
    }
    flow_.counters_.completed.fetch_add(1, std::memory_order_relaxed);
}

void idempotent_request::fail(const attempt_result& it) {
    if (stream_) {
        abort_stream();
        return;
    }
    const bool is_late = flow_.clock_.now() >= deadline_;
    const bool is_retry_useful = find_header(it.shed_head.headers, "Berylcrank-Retry") != "no";
    if (verdict_ == run_verdict::not_run) {
        refuse({.status = is_late ? 504 : 503,
                .verdict = verdict_,
                .reason = is_late ? "deadline passed before an upstream ran the request"
                                  : "no upstream took the request",
                .is_retry_useful = is_retry_useful});
    } else {
        refuse({.status = is_late ? 504 : status_for(it.end),
                .verdict = verdict_,
                .reason = "no upstream gave a whole answer",
                .is_retry_useful = is_retry_useful});
    }
}

void idempotent_request::on_route_refusal(const attempt_refusal& it) {
    if (is_disconnected()) {
        return;
    }
    if (stream_) {
        abort_stream();
        return;
    }
    refuse({.status = it.status,
            .verdict = verdict_,
            .reason = it.reason,
            .is_retry_useful = it.is_retry_useful});
}

void idempotent_request::refuse(const refusal& it) {
    flow_.counters_.refused.fetch_add(1, std::memory_order_relaxed);
    request_.exchange->respond(refusal_response(it));
}

void idempotent_request::abort_stream() {
    flow_.counters_.aborted.fetch_add(1, std::memory_order_relaxed);
    stream_->fail();
}

void idempotent_flow::run(request it) {
    std::make_shared<idempotent_request>(*this, std::move(it))->start();
}

} // namespace berylcrank
