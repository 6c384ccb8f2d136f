#include "modules/berylcrank_node/request/order_execution.h"

#include "modules/berylcrank_node/request/message_forwarding.h"
#include "modules/berylcrank_node/request/order_attempt.h"
#include "modules/berylcrank_node/request/order_headers.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr int http_unavailable = 503;

// Attempts denied by the check before the first byte cost the upstream nothing. Up to this number they do
// not count as attempts.
constexpr unsigned max_denied_attempts = 8;

} // namespace

order_execution::order_execution(const order_dependencies& deps, std::shared_ptr<order_shared_state> shared,
                                 order_request request, const request_id& id, instant deadline,
                                 std::shared_ptr<order_responder> responder)
    : deps_(deps), shared_(std::move(shared)), request_(std::move(request)),
      fingerprint_(request_fingerprint(request_.method, request_.path, request_.body)),
      body_(std::make_shared<const std::string>(std::move(request_.body))), id_(id), id_text_(to_string(id)),
      deadline_(deadline), responder_(std::move(responder)) {
    ++shared_->running;
}

void order_execution::route() {
    if (!deps_.table.is_pending(id_, deps_.time.now())) {
        refuse(http_unavailable, "deadline passed before dispatch", true);
        return;
    }
    attempt_request it{.service = request_.service,
                       .request_class = request_class::order,
                       .deadline = deadline_,
                       .fingerprint = fingerprint_,
                       .excluded = tried_upstreams_,
                       .is_retry = !tried_upstreams_.empty()};
    deps_.router.route(
        std::move(it),
        [self = shared_from_this()](std::unique_ptr<attempt_target> target) {
            self->start(std::move(target));
        },
        [self = shared_from_this()](const attempt_refusal& why) {
            self->refuse(why.status, why.reason, why.is_retry_useful);
        });
}

std::optional<std::uint32_t> order_execution::begin_dispatch() {
    return deps_.table.begin_dispatch(id_, deps_.time.now());
}

void order_execution::on_not_sent(const std::string& upstream, bool is_retry_useful) {
    try_next(upstream, is_retry_useful);
}

void order_execution::on_denied(const std::string& upstream) {
    if (++denied_attempts_ <= max_denied_attempts) {
        route();
    } else {
        try_next(upstream, true);
    }
}

void order_execution::on_not_run(std::uint32_t attempt, const std::string& upstream, bool is_retry_useful) {
    if (deps_.table.attempt_not_run(id_, attempt)) {
        try_next(upstream, is_retry_useful);
    }
}

void order_execution::on_finished(std::uint32_t attempt, order_response response) {
    deps_.table.finish(id_, attempt, std::move(response));
}

void order_execution::start(std::unique_ptr<attempt_target> target) {
    auto remaining = deadline_ - deps_.time.now();
    if (const auto limit = target->run_limit()) {
        remaining = std::min(remaining, *limit);
    }
    if (remaining <= millis{0} || !deps_.table.is_pending(id_, deps_.time.now())) {
        target->finish({.end = attempt_end::denied, .verdict = run_verdict::not_run});
        refuse(http_unavailable, "deadline passed before dispatch", true);
        return;
    }
    upstream_request it{.upstream = target->upstream(),
                        .address = target->address(),
                        .method = request_.method,
                        .path = request_.path,
                        .headers = to_http(request_.headers),
                        .body = body_,
                        .request_id = id_text_,
                        .timeout = remaining,
                        .idempotent = false};
    it.headers.push_back({.name = "Berylcrank-Timeout-Ms", .value = std::to_string(remaining.count())});
    const auto attempt = std::make_shared<order_attempt>(shared_from_this(), std::move(target));
    attempt->set_call(deps_.client.start(std::move(it), attempt));
}

void order_execution::refuse(int status, std::string reason, bool is_retry_useful) {
    order_response it{.verdict = run_verdict::not_run, .status = status, .reason = std::move(reason)};
    if (!is_retry_useful) {
        it.headers.emplace_back("Berylcrank-Retry", "no");
    }
    deps_.table.refuse(id_, std::move(it));
}

void order_execution::try_next(const std::string& upstream, bool is_retry_useful) {
    tried_upstreams_.push_back(upstream);
    if (!is_retry_useful) {
        refuse(http_unavailable, "not sent, and no other upstream may be tried", false);
    } else if (tried_upstreams_.size() >= limits().max_attempts) {
        refuse(http_unavailable, "no upstream took the order", true);
    } else {
        route();
    }
}

} // namespace berylcrank
