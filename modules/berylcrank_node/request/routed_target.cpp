#include "modules/berylcrank_node/request/routed_target.h"

#include <utility>

namespace berylcrank {

namespace {

constexpr int first_server_error = 500;

// Part of a permit's lifetime that is reserved for connecting and for the check before the first byte.
constexpr millis permit_safety_margin{100};

// Incarnation of upstreams that report none. Their restarts are detected only by connections that end.
constexpr std::string_view unnamed_incarnation = "unnamed";

attempt_outcome outcome_of(const attempt_result& it) {
    switch (it.end) {
    case attempt_end::complete:
        return it.status >= first_server_error ? attempt_outcome::error : attempt_outcome::success;
    case attempt_end::shed:
        return attempt_outcome::shed;
    case attempt_end::connect_failed:
        return attempt_outcome::connect_failed;
    case attempt_end::timed_out:
    case attempt_end::stalled:
        return attempt_outcome::timed_out;
    case attempt_end::denied:
    case attempt_end::cancelled:
        return attempt_outcome::unused;
    case attempt_end::reset:
    case attempt_end::truncated:
    case attempt_end::wrong_id:
    case attempt_end::malformed:
        return attempt_outcome::lost;
    }
    return attempt_outcome::lost;
}

cold_outcome cold_outcome_of(const attempt_result& it) {
    switch (it.end) {
    case attempt_end::complete:
        return it.status >= first_server_error ? cold_outcome::completed : cold_outcome::success;
    case attempt_end::shed:
        return cold_outcome::completed;
    case attempt_end::connect_failed:
    case attempt_end::denied:
        return cold_outcome::not_sent;
    case attempt_end::reset:
    case attempt_end::truncated:
        return cold_outcome::connection_lost;
    case attempt_end::timed_out:
    case attempt_end::stalled:
    case attempt_end::cancelled:
    case attempt_end::wrong_id:
    case attempt_end::malformed:
        return cold_outcome::abandoned;
    }
    return cold_outcome::abandoned;
}

} // namespace

routed_target::routed_target(const routing_dependencies& deps, std::shared_ptr<service_entry> service,
                             route_grant grant, cold_attempt cold)
    : deps_(deps), service_(std::move(service)), grant_(std::move(grant)), cold_(std::move(cold)) {
    if (cold_.permit()) {
        auto permit = *cold_.permit();
        const auto limit = permit.run_limit(deps_.time.now(), permit_safety_margin);
        cold_.set_permit(std::move(permit), limit);
    }
}

routed_target::~routed_target() {
    release(attempt_outcome::unused, cold_outcome::not_sent);
}

std::optional<millis> routed_target::run_limit() const {
    if (!cold_.permit()) {
        return std::nullopt;
    }
    return cold_.permit()->run_limit(deps_.time.now(), permit_safety_margin);
}

bool routed_target::may_send(const connection_info& it) {
    const auto now = deps_.time.now();
    return deps_.lease.is_valid(now) && deps_.gate.may_send(cold_, it.local_port, it.is_new, now);
}

void routed_target::report_load(std::string_view header) {
    const auto load = parse_load_header(header);
    const auto upstream_incarnation =
        load.incarnation.empty() ? unnamed_incarnation : std::string_view(load.incarnation);
    if (const auto it = deps_.gate.on_head(cold_, upstream_incarnation, load.is_cold)) {
        deps_.permits.release(*it);
    }
    const auto now = deps_.time.now();
    if (load.report) {
        service_->router.report_load(grant_, *load.report, now);
    }
    if (load.is_draining) {
        service_->router.set_gate(upstream(), {.access = upstream_gate::access_mode::closed}, now);
    }
}

void routed_target::finish(const attempt_result& it) {
    service_->metrics.attempt(it.end).Increment();
    release(outcome_of(it), cold_outcome_of(it));
}

void routed_target::release(attempt_outcome outcome, cold_outcome end) {
    if (std::exchange(is_released_, true)) {
        return;
    }
    const bool was_permitted = cold_.is_permitted();
    if (const auto it = deps_.gate.finish(cold_, end)) {
        deps_.permits.release(*it);
    }
    if (was_permitted || end == cold_outcome::connection_lost || end == cold_outcome::not_sent) {
        update_gate();
    }
    service_->router.release(grant_, outcome, deps_.time.now());
}

void routed_target::update_gate() {
    const bool is_open = deps_.gate.verified_connections(upstream()) > 0;
    service_->router.set_gate(
        upstream(),
        {.access = is_open ? upstream_gate::access_mode::open : upstream_gate::access_mode::by_permit},
        deps_.time.now());
}

} // namespace berylcrank
