#include "modules/berylcrank_routing/service/service_router.h"

#include <utility>

namespace berylcrank {

namespace {

// A request with less time left than this share of the mean latency is refused instead of queued.
constexpr double min_remaining_latency_share = 0.5;

} // namespace

bool service_router::spend_budget(const route_request& request) {
    switch (request.kind) {
    case attempt_kind::first:
        retries_.on_first_attempt();
        hedges_.on_first_attempt();
        return true;
    case attempt_kind::retry:
        return retries_.try_spend();
    case attempt_kind::hedge:
        return hedges_.try_spend();
    }
    return false;
}

void service_router::refund_budget(const route_request& request) {
    if (request.kind == attempt_kind::retry) {
        retries_.refund();
    } else if (request.kind == attempt_kind::hedge) {
        hedges_.refund();
    }
}

void service_router::refuse(refusal_reason reason, const route_request& request, route_callback done,
                            callback_list& out) {
    if (reason != refusal_reason::budget_exhausted) {
        refund_budget(request);
    }
    ++stats_.refusals[static_cast<std::size_t>(reason)];
    // A retry after an overload would multiply the load at each level above. A retry is useful only if no
    // upstream was available.
    const bool is_useful = reason == refusal_reason::no_upstream || reason == refusal_reason::stopped;
    out.emplace_back(std::move(done), route_refusal{.reason = reason, .is_retry_useful = is_useful});
}

void service_router::refuse_waiting(std::uint64_t number, refusal_reason reason, callback_list& out) {
    auto waiting = waiting_.extract(number);
    if (!waiting.empty()) {
        refuse(reason, waiting.mapped().request, std::move(waiting.mapped().done), out);
    }
}

std::uint64_t service_router::acquire(route_request request, route_callback done, instant now) {
    callback_list out;
    std::uint64_t number = 0;
    {
        const lock_guard lock(mutex_);
        number = next_number_++;
        if (!spend_budget(request)) {
            refuse(refusal_reason::budget_exhausted, request, std::move(done), out);
        } else {
            admit(number, std::move(request), std::move(done), now, out);
        }
    }
    run_callbacks(out);
    return number;
}

void service_router::admit(std::uint64_t number, route_request request, route_callback done, instant now,
                           callback_list& out) {
    if (request.deadline <= now) {
        return refuse(refusal_reason::deadline, request, std::move(done), out);
    }
    const auto first = queue_.top();
    const bool is_next = !first || request.request_class < first->request_class;
    if (is_next) {
        const auto selected = choose(request, now);
        if (selected.chosen != nullptr) {
            out.emplace_back(std::move(done), grant(*selected.chosen, number, request, now));
            return;
        }
        if (!selected.is_busy) {
            return refuse(refusal_reason::no_upstream, request, std::move(done), out);
        }
    }
    enqueue(number, std::move(request), std::move(done), now, out);
}

void service_router::enqueue(std::uint64_t number, route_request request, route_callback done, instant now,
                             callback_list& out) {
    if (!request.may_wait) {
        return refuse(refusal_reason::queue_full, request, std::move(done), out);
    }
    std::optional<queued_request> displaced;
    const auto min_service_time = millis::from_value(baseline_.latency_ms() * min_remaining_latency_share);
    const auto result =
        queue_.push({.number = number, .request_class = request.request_class, .deadline = request.deadline},
                    min_service_time, now, displaced);
    if (result != push_result::queued) {
        const auto reason =
            result == push_result::full ? refusal_reason::queue_full : refusal_reason::deadline;
        return refuse(reason, request, std::move(done), out);
    }
    ++stats_.queued;
    waiting_.emplace(number, waiting_request{std::move(request), std::move(done)});
    if (displaced) {
        refuse_waiting(displaced->number, refusal_reason::queue_full, out);
    }
}

void service_router::serve_queue(instant now, callback_list& out) {
    for (const auto& late : queue_.expire(now)) {
        refuse_waiting(late.number, refusal_reason::deadline, out);
    }
    while (const auto next = queue_.top()) {
        const auto& request = waiting_.at(next->number).request;
        const auto selected = choose(request, now);
        if (selected.chosen == nullptr && selected.is_busy) {
            return;
        }
        queue_.pop(now);
        if (selected.chosen == nullptr) {
            refuse_waiting(next->number, refusal_reason::no_upstream, out);
            continue;
        }
        auto waiting = waiting_.extract(next->number);
        out.emplace_back(std::move(waiting.mapped().done),
                         grant(*selected.chosen, next->number, waiting.mapped().request, now));
    }
}

bool service_router::cancel(std::uint64_t number) {
    const lock_guard lock(mutex_);
    if (!queue_.remove(number)) {
        return false;
    }
    refund_budget(waiting_.at(number).request);
    waiting_.erase(number);
    return true;
}

void service_router::tick(instant now) {
    callback_list out;
    {
        const lock_guard lock(mutex_);
        serve_queue(now, out);
    }
    run_callbacks(out);
}

void service_router::set_gate(std::string_view upstream, const upstream_gate& gate, instant now) {
    callback_list out;
    {
        const lock_guard lock(mutex_);
        if (auto* state = find(upstream); state != nullptr) {
            state->gate = gate;
            serve_queue(now, out);
        }
    }
    run_callbacks(out);
}

} // namespace berylcrank
