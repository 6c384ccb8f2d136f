#pragma once

#include "modules/berylcrank_balance/account/client_account.h"
#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace berylcrank {

/** Retry safety of the requests of a route. */
enum class request_kind : std::uint8_t {
    safe,     ///< Idempotent; may run more than once.
    unsafe,   ///< Runs at most once per caller attempt.
    download, ///< Idempotent, with a large response.
};

/** Returns whether a request of this kind may be retried after it may have run. */
constexpr bool is_idempotent(request_kind kind) {
    return kind != request_kind::unsafe;
}

/** One service of a route and its weight in the route's traffic split. */
struct traffic_part {
    std::string service;
    double weight{1};
};

/** Handling of the requests whose host and path match. */
struct route_entry {
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind{request_kind::unsafe};
    millis timeout;        ///< Longest time that a caller waits for a response; 0 for no limit.
    millis latency_target; ///< Wanted response time; 0 if not set.
    int priority{0};       ///< 0 is the most urgent.
    int max_attempts{1};   ///< Number of upstreams to which one caller attempt may be sent.
    bool is_public{false}; ///< Requests need no account, also if the configuration has accounts.
    std::vector<traffic_part> parts;
};

/** Settings of a service. */
struct service_settings {
    std::string name;
    std::string health_path;
    int max_connections{0};       ///< Connections that one upstream accepts from all nodes; 0 if unknown.
    millis warm_up;               ///< Time for which an upstream is cold after its start.
    double warm_up_per_second{0}; ///< Requests per second that a cold upstream tolerates; 0 for no limit.
};

/** Limits on callers' requests and connections. */
struct ingress_limits {
    std::uint32_t header_bytes{16384};
    std::uint64_t body_bytes{64U << 20U};
    millis header_timeout{3000};
    millis idle_timeout{15000};
};

/** A complete configuration of a deployment. */
struct deployment_config {
    std::uint64_t version{0};
    std::vector<route_entry> routes;
    std::vector<service_settings> services;
    ingress_limits limits;
    std::optional<std::vector<client_account>> accounts; ///< Without a list, requests need no account.
};

} // namespace berylcrank
