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

/** What an attempt is, as far as budgets are concerned. @see route_request */
enum class attempt_kind : std::uint8_t { first, retry, hedge };

/** A request for an upstream. @see service_router::acquire */
struct route_request {
    berylcrank::request_class request_class{berylcrank::request_class::lookup};
    instant deadline{instant::never()};
    attempt_kind kind{attempt_kind::first};
    std::vector<std::string> excluded; ///< Upstreams that must not be given, e.g. those tried before.
    bool is_alone{false};              ///< A suspect's trial: no other request of this node at its upstream.
    bool may_wait{true};               ///< False: refused instead of queued, e.g. for a hedge.
};

/** An upstream held for one attempt, until `service_router::release`. */
struct route_grant {
    std::uint64_t number{0};
    std::uint32_t upstream_id{0};
    std::shared_ptr<const upstream_config> upstream;
    bool needs_permit{false}; ///< Its gate is `by_permit` and no permit was on stock: get one before sending.
    bool used_permit{false};  ///< One of the permits given with `set_gate` was taken; it is not put back.
    instant at;
};

/** Why a request was refused; it did not run. */
enum class refusal_reason : std::uint8_t {
    no_upstream,      ///< None is in use, or all are excluded.
    queue_full,       ///< Includes displacement by a request of a higher class.
    deadline,         ///< It could not be met or has passed in the queue.
    budget_exhausted, ///< Retry or hedge beyond the budget.
    stopped,          ///< The service was removed or the router destroyed.
};

/** Number of refusal reasons. */
inline constexpr std::size_t refusal_reason_count = 5;

/** Text for callers and metrics. */
std::string_view to_string(refusal_reason it);

/** A refusal. */
struct route_refusal {
    refusal_reason reason{refusal_reason::no_upstream};
    bool is_retry_useful{false}; ///< False passes `Berylcrank-Retry: no` up the chain.
};

using route_result = std::variant<route_grant, route_refusal>;

/** Receives the result once, without any lock held. */
using route_callback = std::function<void(const route_result&)>;

/** How an attempt ended, as far as routing learns from it. @see service_router::release */
enum class attempt_outcome : std::uint8_t {
    success,        ///< Whole answer without server error.
    error,          ///< Whole answer with a server error (5xx).
    shed,           ///< Explicit not-run answer.
    connect_failed, ///< No connection.
    lost,           ///< Reset, truncated, wrong id, malformed.
    timed_out,      ///< Also stalled.
    unused,         ///< Not sent, or cancelled: says nothing about the upstream.
};

/** Number of attempt outcomes. */
inline constexpr std::size_t attempt_outcome_count = 7;

/** Whether an upstream may be given. Set by cold admission. @see service_router::set_gate */
struct upstream_gate {
    enum class access_mode : std::uint8_t {
        open,
        by_permit, ///< Only for requests that hold a permit: `permits` are on stock.
        closed,
    };
    access_mode access{access_mode::open};
    std::uint32_t permits{0};
    bool may_request_permit{true}; ///< `by_permit` without stock: may be given with `needs_permit`, now and
                                   ///< then, or if no open one has room.
};

/** Counters and gauges of one service at one node. Counters only grow. @see service_router::stats */
struct routing_stats {
    std::array<std::uint64_t, attempt_outcome_count> outcomes{};
    std::array<std::uint64_t, refusal_reason_count> refusals{};
    std::array<std::uint64_t, request_class_count> granted{};
    std::uint64_t queued{0}; ///< Requests that had to wait.
    std::uint64_t retries{0};
    std::uint64_t hedges{0};
    std::uint64_t ejections{0};
    std::uint64_t probes{0};
    millis probe_time; ///< Upstream time charged for probes; its rate is the cost in ms per second.
    std::size_t upstreams{0};
    std::size_t ejected{0};
    std::size_t waiting{0};
    std::uint32_t in_flight{0};
    double limit{0};      ///< Concurrency limit of the service at this node.
    double latency_ms{0}; ///< Mean latency.
};

} // namespace berylcrank
