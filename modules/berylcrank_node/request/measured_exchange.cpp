#include "modules/berylcrank_node/request/measured_exchange.h"

#include <atomic>
#include <utility>

namespace berylcrank {

/** Counts the end of the request once, at the first event that indicates it. */
struct measured_exchange::outcome {
    explicit outcome(const options& it)
        : metrics(it.metrics), time(it.time), latency_objective(it.latency_objective),
          is_download(it.is_download), in_domain_change(it.in_domain_change), started(it.time.now()) {}

    service_metrics& metrics;
    const clock& time;
    millis latency_objective;
    bool is_download;
    bool in_domain_change;
    instant started;
    std::atomic<bool> is_counted{false};

    void record_end(run_verdict verdict, burn_event event) {
        if (is_counted.exchange(true)) {
            return;
        }
        const auto now = time.now();
        metrics.request(verdict).Increment();
        metrics.in_flight->Decrement();
        metrics.latency_ms->Observe((now - started).value());
        if (event == burn_event::good && !is_download && now - started > latency_objective) {
            event = burn_event::slow;
        }
        if (event == burn_event::cut_off) {
            metrics.cut_off->Increment();
        }
        metrics.burn.record(event, in_domain_change, now);
    }

    void record_disconnect() {
        if (!is_counted.exchange(true)) {
            metrics.in_flight->Decrement();
            metrics.caller_disconnects->Increment();
        }
    }
};

namespace {

run_verdict verdict_of(const http_response_head& head) {
    const auto text = find_header(head.headers, "Berylcrank-Verdict");
    const auto verdict = text ? parse_run_verdict(*text) : std::nullopt;
    return verdict.value_or(run_verdict::ran);
}

burn_event event_of(run_verdict verdict, int status) {
    constexpr int first_server_error = 500;
    constexpr int first_client_error = 400;
    if (verdict == run_verdict::ran) {
        return status >= first_server_error ? burn_event::failed : burn_event::good;
    }
    if (verdict == run_verdict::not_run) {
        // An error of the caller does not count as a failure of the service.
        const bool is_caller_error =
            status >= first_client_error && status < first_server_error && status != 429;
        return is_caller_error ? burn_event::good : burn_event::refused;
    }
    return burn_event::failed;
}

} // namespace

measured_exchange::measured_exchange(options it)
    : options_(std::move(it)), outcome_(std::make_shared<outcome>(options_)) {
    options_.metrics.in_flight->Increment();
    options_.inner->set_on_disconnect([it = outcome_] { it->record_disconnect(); });
}

void measured_exchange::respond(http_response it) {
    const auto verdict = verdict_of(it.head);
    outcome_->record_end(verdict, event_of(verdict, it.head.status));
    options_.inner->respond(std::move(it));
}

std::shared_ptr<body_buffer> measured_exchange::start_response(http_response_head head,
                                                               std::optional<std::uint64_t> content_bytes) {
    const auto verdict = verdict_of(head);
    const auto event = event_of(verdict, head.status);
    auto buffer = options_.inner->start_response(std::move(head), content_bytes);
    buffer->set_on_end([it = outcome_, verdict, event](body_buffer::state end) {
        it->record_end(verdict, end == body_buffer::state::finished ? event : burn_event::cut_off);
    });
    return buffer;
}

void measured_exchange::abort() {
    outcome_->record_end(run_verdict::may_have_run, burn_event::cut_off);
    options_.inner->abort();
}

void measured_exchange::set_on_disconnect(std::function<void()> it) {
    options_.inner->set_on_disconnect([counted = outcome_, then = std::move(it)] {
        counted->record_disconnect();
        if (then) {
            then();
        }
    });
}

} // namespace berylcrank
