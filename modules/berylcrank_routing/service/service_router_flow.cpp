#include "modules/berylcrank_routing/service/service_router.h"

#include <utility>

namespace berylcrank {

namespace {

// A request that has less time left than this share of the mean latency is refused instead of queued.
constexpr double least_share_of_latency = 0.5;

} // namespace

bool service_router::spend_budget(const route_request& it) {
    switch (it.kind) {
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

void service_router::give_back_budget(const route_request& it) {
    if (it.kind == attempt_kind::retry) {
        retries_.give_back();
    } else if (it.kind == attempt_kind::hedge) {
        hedges_.give_back();
    }
}

void service_router::refuse(refusal_reason why, const route_request& it, route_callback done, calls& out) {
    if (why != refusal_reason::budget_exhausted) {
        give_back_budget(it);
    }
    ++stats_.refusals[static_cast<std::size_t>(why)];
    // Overload anywhere below must not multiply on the way up: only a missing upstream is worth another try.
    const bool is_useful = why == refusal_reason::no_upstream || why == refusal_reason::stopped;
    out.emplace_back(std::move(done), route_refusal{.reason = why, .is_retry_useful = is_useful});
}

void service_router::refuse_waiting(std::uint64_t number, refusal_reason why, calls& out) {
    auto it = waiting_.extract(number);
    if (!it.empty()) {
        refuse(why, it.mapped().request, std::move(it.mapped().done), out);
    }
}

std::uint64_t service_router::acquire(route_request it, route_callback done, instant now) {
    calls out;
    std::uint64_t number = 0;
    {
        const lock_guard lock(mutex_);
        number = next_number_++;
        if (!spend_budget(it)) {
            refuse(refusal_reason::budget_exhausted, it, std::move(done), out);
        } else {
            admit(number, std::move(it), std::move(done), now, out);
        }
    }
    run(out);
    return number;
}

void service_router::admit(std::uint64_t number, route_request it, route_callback done, instant now,
                           calls& out) {
    if (it.deadline <= now) {
        return refuse(refusal_reason::deadline, it, std::move(done), out);
    }
    const auto first = queue_.top();
    const bool goes_first = !first || it.request_class < first->request_class;
    if (goes_first) {
        const auto found = choose(it, now);
        if (found.chosen != nullptr) {
            out.emplace_back(std::move(done), grant(*found.chosen, number, it, now));
            return;
        }
        if (!found.is_busy) {
            return refuse(refusal_reason::no_upstream, it, std::move(done), out);
        }
    }
    enqueue(number, std::move(it), std::move(done), now, out);
}

void service_router::enqueue(std::uint64_t number, route_request it, route_callback done, instant now,
                             calls& out) {
    if (!it.may_wait) {
        return refuse(refusal_reason::queue_full, it, std::move(done), out);
    }
    std::optional<queued_request> displaced;
    const auto shortest = millis::from_value(base_.latency_ms() * least_share_of_latency);
    const auto result =
        queue_.push({.number = number, .request_class = it.request_class, .deadline = it.deadline}, shortest,
                    now, displaced);
    if (result != push_result::queued) {
        const auto why = result == push_result::full ? refusal_reason::queue_full : refusal_reason::deadline;
        return refuse(why, it, std::move(done), out);
    }
    ++stats_.queued;
    waiting_.emplace(number, waiting_request{std::move(it), std::move(done)});
    if (displaced) {
        refuse_waiting(displaced->number, refusal_reason::queue_full, out);
    }
}

void service_router::serve_queue(instant now, calls& out) {
    for (const auto& late : queue_.expire(now)) {
        refuse_waiting(late.number, refusal_reason::deadline, out);
    }
    while (const auto next = queue_.top()) {
        const auto& request = waiting_.at(next->number).request;
        const auto found = choose(request, now);
        if (found.chosen == nullptr && found.is_busy) {
            return;
        }
        queue_.pop(now);
        if (found.chosen == nullptr) {
            refuse_waiting(next->number, refusal_reason::no_upstream, out);
            continue;
        }
        auto it = waiting_.extract(next->number);
        out.emplace_back(std::move(it.mapped().done),
                         grant(*found.chosen, next->number, it.mapped().request, now));
    }
}

bool service_router::cancel(std::uint64_t number) {
    const lock_guard lock(mutex_);
    if (!queue_.remove(number)) {
        return false;
    }
    give_back_budget(waiting_.at(number).request);
    waiting_.erase(number);
    return true;
}

void service_router::tick(instant now) {
    calls out;
    {
        const lock_guard lock(mutex_);
        serve_queue(now, out);
    }
    run(out);
}

void service_router::set_gate(std::string_view upstream, const upstream_gate& it, instant now) {
    calls out;
    {
        const lock_guard lock(mutex_);
        if (auto* state = find(upstream); state != nullptr) {
            state->gate = it;
            serve_queue(now, out);
        }
    }
    run(out);
}

} // namespace berylcrank
