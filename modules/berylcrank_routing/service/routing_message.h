#pragma once

#include "modules/berylcrank_config/ticket/objects.h"
#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_core/verdict/request_class.h"
#include "modules/berylcrank_routing/policy/candidate_view.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace berylcrank {

/** Kind of an attempt; decides which budget it is charged to. @see route_request */
enum class attempt_kind : std::uint8_t { first, retry, hedge };

/** A request for an upstream. @see service_router::acquire */
struct route_request {
    berylcrank::request_class request_class{berylcrank::request_class::lookup};
    instant deadline{instant::never()};
    attempt_kind kind{attempt_kind::first};
    std::vector<std::string> excluded; ///< Upstreams that are not selected, e.g. those of earlier attempts.
    /** Trial of a suspect: the upstream must have no other request of this node. */
    bool needs_exclusive_upstream{false};
    bool may_wait{true}; ///< If false, it is refused instead of queued, e.g. a hedge.
};

/** An upstream reserved for one attempt, until `service_router::release`. */
struct route_grant {
    std::uint64_t number{0};
    std::uint32_t upstream_id{0};
    std::shared_ptr<const upstream_config> upstream;
    bool needs_permit{false}; ///< The gate is `by_permit` without permits: acquire a permit before sending.
    bool used_permit{false};  ///< A permit of the gate was consumed; it is not returned.
    instant at;               ///< Time of the grant.
};

/** Why a request was refused. A refused request did not run. */
enum class refusal_reason : std::uint8_t {
    no_upstream,      ///< No upstream is in use, or all are excluded.
    queue_full,       ///< Includes displacement by a request of a higher class.
    deadline,         ///< The deadline cannot be met, or has passed in the queue.
    budget_exhausted, ///< The retry or hedge exceeds its budget.
    stopped,          ///< The router was destroyed, e.g. because the service was removed.
};

/** Number of refusal reasons. */
inline constexpr std::size_t refusal_reason_count = 5;

/** Text for responses to callers. */
std::string_view to_string(refusal_reason reason);

/** A refusal. */
struct route_refusal {
    refusal_reason reason{refusal_reason::no_upstream};
    bool is_retry_useful{false}; ///< If false, the caller gets `Berylcrank-Retry: no`.
};

using route_result = std::variant<route_grant, route_refusal>;

/** Called exactly once with the result, without any lock held. */
using route_callback = std::function<void(const route_result&)>;

/** Outcome of an attempt. @see service_router::release */
enum class attempt_outcome : std::uint8_t {
    success,        ///< Complete response without a server error.
    error,          ///< Complete response with a server error (5xx).
    shed,           ///< Response that states that the request did not run.
    connect_failed, ///< No connection.
    lost,           ///< Reset, truncated, wrong id or malformed.
    timed_out,      ///< Includes stalled responses.
    unused,         ///< Not sent, or cancelled: not evidence for or against the upstream.
};

/** Number of attempt outcomes. */
inline constexpr std::size_t attempt_outcome_count = 7;

/** Whether an upstream may be selected. Set by cold admission. @see service_router::set_gate */
struct upstream_gate {
    enum class access_mode : std::uint8_t {
        open,
        by_permit, ///< Each request needs a permit; `permits` are available.
        closed,
    };
    access_mode access{access_mode::open};
    std::uint32_t permits{0};
    /** With `by_permit` and no permits: the upstream may be granted with `needs_permit`, at intervals, or
        if no open upstream is available. */
    bool may_request_permit{true};
};

/** Counters and gauges of one service at one node. Counters never decrease. @see service_router::stats */
struct routing_stats {
    std::array<std::uint64_t, attempt_outcome_count> outcomes{};
    std::array<std::uint64_t, refusal_reason_count> refusals{};
    std::array<std::uint64_t, request_class_count> granted{};
    std::uint64_t queued{0}; ///< Requests that entered the queue.
    std::uint64_t retries{0};
    std::uint64_t hedges{0};
    std::uint64_t ejections{0};
    std::uint64_t probes{0};
    millis probe_time; ///< Upstream time charged for probes; its rate is the probe cost in ms per second.
    std::size_t upstreams{0};
    std::size_t ejected{0};
    std::size_t waiting{0};
    std::uint32_t in_flight{0};
    double limit{0};      ///< Concurrency limit of the service at this node.
    double latency_ms{0}; ///< Mean latency.
};

} // namespace berylcrank
