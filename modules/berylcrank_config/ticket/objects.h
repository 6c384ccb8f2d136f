#pragma once

#include "modules/berylcrank_core/time/millis.h"
#include "modules/berylcrank_core/verdict/request_class.h"

#include <cstdint>
#include <string>

namespace berylcrank {

/** Configuration of a service. Fields, units and ranges are those of `Service` in schema/ticket.capnp.
    @see config_view */
struct service_config {
    std::string name;
    berylcrank::request_class request_class{berylcrank::request_class::lookup};
    std::uint32_t weight{1};
    millis deadline{2000};
    double retry_budget_percent{10};
    double hedge_budget_percent{0};
    double probe_budget_percent{0};
    std::uint32_t cold_concurrency{1};
    std::uint32_t warm_requests{20};
    std::uint32_t queue_limit{64};
    millis latency_objective{250};
    double latency_objective_percent{99};
    double availability_objective_percent{99.9};
};

/** Configuration of a failure domain, with the fields of `FailureDomain` in schema/ticket.capnp. */
struct failure_domain_config {
    std::string name;
    std::string region;
    bool in_use{true};
};

/** Configuration of an upstream, with the fields, units and ranges of `Upstream` in schema/ticket.capnp. */
struct upstream_config {
    std::string name;
    std::string service;
    std::string failure_domain;
    std::string address; ///< IP address and port.
    std::uint32_t slots{4};
    std::uint32_t max_connections{250};
    bool draining{false};
};

} // namespace berylcrank
