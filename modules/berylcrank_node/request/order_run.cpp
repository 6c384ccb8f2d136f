#include "modules/berylcrank_node/request/order_run.h"

#include "modules/berylcrank_node/request/message_rules.h"
#include "modules/berylcrank_node/request/order_attempt.h"
#include "modules/berylcrank_node/request/order_headers.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr int http_unavailable = 503;

// Attempts abandoned by the check before the first byte cost the upstream nothing and are not retries.
constexpr unsigned most_denied = 8;

} // namespace

order_run::order_run(const order_parts& parts, std::shared_ptr<order_shared> shared, order_request request,
                     const request_id& id, instant deadline, std::shared_ptr<order_reply> reply)
    : parts_(parts), shared_(std::move(shared)), request_(std::move(request)),
      fingerprint_(request_fingerprint(request_.method, request_.path, request_.body)),
      body_(std::make_shared<const std::string>(std::move(request_.body))), id_(id), id_text_(to_string(id)),
      deadline_(deadline), reply_(std::move(reply)) {
    ++shared_->running;
}

void order_run::route() {
    if (!parts_.table.is_pending(id_, parts_.time.now())) {
        refuse(http_unavailable, "deadline passed before dispatch", true);
        return;
    }
    attempt_request it{.service = request_.service,
                       .request_class = request_class::order,
                       .deadline = deadline_,
                       .fingerprint = fingerprint_,
                       .excluded = tried_,
                       .is_retry = !tried_.empty()};
    parts_.router.route(
        std::move(it),
        [self = shared_from_this()](std::unique_ptr<attempt_target> target) {
            self->start(std::move(target));
        },
        [self = shared_from_this()](const attempt_refusal& why) {
            self->refuse(why.status, why.reason, why.is_retry_useful);
        });
}

std::optional<std::uint32_t> order_run::begin_dispatch() {
    return parts_.table.begin_dispatch(id_, parts_.time.now());
}

void order_run::on_not_sent(const std::string& upstream, bool is_retry_useful) {
    try_next(upstream, is_retry_useful);
}

void order_run::on_denied(const std::string& upstream) {
    if (++denied_ <= most_denied) {
        route();
    } else {
        try_next(upstream, true);
    }
}

void order_run::on_not_run(std::uint32_t attempt, const std::string& upstream, bool is_retry_useful) {
    if (parts_.table.attempt_not_run(id_, attempt)) {
        try_next(upstream, is_retry_useful);
    }
}

void order_run::on_ended(std::uint32_t attempt, order_response answer) {
    parts_.table.finish(id_, attempt, std::move(answer));
}

void order_run::start(std::unique_ptr<attempt_target> target) {
    auto left = deadline_ - parts_.time.now();
    if (const auto limit = target->run_limit()) {
        left = std::min(left, *limit);
    }
    if (left <= millis{0} || !parts_.table.is_pending(id_, parts_.time.now())) {
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
                        .timeout = left,
                        .idempotent = false};
    it.headers.push_back({.name = "Berylcrank-Timeout-Ms", .value = std::to_string(left.count())});
    const auto attempt = std::make_shared<order_attempt>(shared_from_this(), std::move(target));
    attempt->set_call(parts_.client.start(std::move(it), attempt));
}

void order_run::refuse(int status, std::string reason, bool is_retry_useful) {
    order_response it{.verdict = run_verdict::not_run, .status = status, .reason = std::move(reason)};
    if (!is_retry_useful) {
        it.headers.emplace_back("Berylcrank-Retry", "no");
    }
    parts_.table.refuse(id_, std::move(it));
}

void order_run::try_next(const std::string& upstream, bool is_retry_useful) {
    tried_.push_back(upstream);
    if (!is_retry_useful) {
        refuse(http_unavailable, "not sent, and no other upstream may be tried", false);
    } else if (tried_.size() >= limits().attempts) {
        refuse(http_unavailable, "no upstream took the order", true);
    } else {
        route();
    }
}

} // namespace berylcrank
