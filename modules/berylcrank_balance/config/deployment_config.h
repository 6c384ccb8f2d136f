#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>
#include <string>
#include <vector>

namespace berylcrank {

/** What may be repeated for the requests of a route. */
enum class request_kind : std::uint8_t {
    safe,     ///< Idempotent; may run more than once.
    unsafe,   ///< Runs at most once for each client attempt.
    download, ///< Idempotent, with a large response.
};

/** Whether a request of this kind may be sent again after it may have run. */
constexpr bool is_idempotent(request_kind kind) {
    return kind != request_kind::unsafe;
}

/** One service of a route and its share of the route's requests. */
struct traffic_part {
    std::string service;
    double weight{1};
};

/** How requests whose host and path match are treated. */
struct route_entry {
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind{request_kind::unsafe};
    millis timeout;        ///< Longest time a caller is kept waiting; 0 for none.
    millis latency_target; ///< Time within which a response is worth most; 0 when not known.
    int priority{0};       ///< 0 is the most urgent.
    int max_attempts{1};   ///< Upstreams to which one client attempt may be sent.
    std::vector<traffic_part> parts;
};

/** A service as the operator describes it. */
struct service_settings {
    std::string name;
    std::string health_path;
    int max_connections{0};       ///< Connections one upstream accepts from all nodes; 0 when not known.
    millis warm_up;               ///< Time for which an upstream stays cold after its start.
    double warm_up_per_second{0}; ///< Requests a second that a cold upstream tolerates; 0 for no limit.
};

/** What a caller may send. */
struct ingress_limits {
    std::uint32_t header_bytes{16384};
    std::uint64_t body_bytes{64U << 20U};
    millis header_timeout{3000};
    millis idle_timeout{15000};
};

/** A whole configuration of one version. */
struct deployment_config {
    std::uint64_t version{0};
    std::vector<route_entry> routes;
    std::vector<service_settings> services;
    ingress_limits limits;
};

} // namespace berylcrank
