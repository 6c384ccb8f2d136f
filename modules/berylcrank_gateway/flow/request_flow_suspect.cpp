#include "modules/berylcrank_gateway/flow/gateway.h"
#include "modules/berylcrank_gateway/flow/request_flow.h"

#include <absl/strings/str_cat.h>

namespace berylcrank {

request_suspicion& request_flow::suspicion() {
    if (!suspicion_) {
        const auto* host = find_header(caller_->head.headers, "Host");
        const auto identity = caller_identity();
        suspicion_.emplace(node_.suspects,
                           fingerprints_of({.method = caller_->head.method,
                                            .host = host == nullptr ? std::string_view() : *host,
                                            .target = caller_->head.target,
                                            .caller = identity,
                                            .body = caller_->body}));
    }
    return *suspicion_;
}

bool request_flow::refuse_if_suspect() {
    if (node_.suspects.empty() || is_trial_) {
        return false;
    }
    const auto verdict = suspicion().check(node_.time.now());
    is_trial_ = verdict.action == suspect_verdict::action_kind::trial;
    if (is_trial_) {
        node_.metrics.count_event("suspect-trial");
        node_.log.line("suspect-trial").field("request", id_).field("route", route_->name).send();
    }
    if (verdict.action != suspect_verdict::action_kind::refuse) {
        return false;
    }
    node_.metrics.count_event("suspect-refused");
    refuse("crashes-upstreams", verdict.retry_after);
    return true;
}

bool request_flow::suspicion_allows_retry() {
    return !is_trial_ && (node_.suspects.empty() || suspicion().allows_retry());
}

void request_flow::report_crash_evidence(const attempt& it) {
    const auto now = node_.time.now();
    if (it.connection_lost()) {
        report_loss(it, now);
    } else if (it.result() == send_result::response && it.head.status < 500 && !node_.suspects.empty()) {
        suspicion().on_success(now);
    }
}

void request_flow::report_loss(const attempt& it, instant now) {
    const upstream_loss loss{.upstream = it.target().number,
                             .run = it.upstream_run(),
                             .sent_at = it.started(),
                             .lost_at = now,
                             .closed = it.ended() && it.connection()->closed_by_server()};
    const auto crashes = suspicion().on_lost(loss, now);
    if (crashes > 1) {
        node_.log.line("suspect")
            .field("request", id_)
            .field("fingerprint",
                   absl::StrCat(absl::Hex(suspicion().fingerprints().of_request, absl::kZeroPad16)))
            .field("upstream", it.target().entry.id)
            .field("crashes", static_cast<std::uint64_t>(crashes))
            .send();
    }
}

} // namespace berylcrank
