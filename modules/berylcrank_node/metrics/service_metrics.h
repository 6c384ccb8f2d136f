#pragma once

#include "modules/berylcrank_core/verdict/run_verdict.h"
#include "modules/berylcrank_http/client/upstream_client.h"
#include "modules/berylcrank_report/burn/burn_counter.h"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <string>

namespace berylcrank {

/** Metrics of one service, looked up once and then updated without a registry lock.

    @see node_metrics
*/
struct service_metrics {
    std::array<prometheus::Counter*, 3> requests{};   ///< By `run_verdict`.
    std::array<prometheus::Counter*, 11> attempts{};  ///< By `attempt_end`.
    prometheus::Counter* cut_off{nullptr};            ///< Responses that ended early.
    prometheus::Counter* caller_disconnects{nullptr}; ///< Callers that left before the response ended.
    prometheus::Counter* probe_cost_ms{nullptr};      ///< Upstream time taken by probes, in ms.
    prometheus::Gauge* in_flight{nullptr};            ///< Requests between arrival and end of response.
    prometheus::Histogram* latency_ms{nullptr};       ///< Time from arrival to end of response, in ms.
    burn_counter burn;                                ///< Counts for the burn report.

    /** Counter of one verdict. */
    [[nodiscard]] prometheus::Counter& request(run_verdict it) {
        return *requests[static_cast<std::size_t>(it)];
    }

    /** Counter of one kind of attempt end. */
    [[nodiscard]] prometheus::Counter& attempt(attempt_end it) {
        return *attempts[static_cast<std::size_t>(it)];
    }
};

/** Name of an attempt end in metrics. */
std::string_view to_string(attempt_end it);

} // namespace berylcrank
