#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>

namespace berylcrank {

/** Correlation between the load reports of a service and its latency.

    The load that an upstream reports with a response correlates with the latency of that request if the
    report is current, because a long queue causes a long wait. Stale or false reports do not correlate and
    get no weight.
    @see service_baseline
*/
class report_correlation {
public:
    /** Adds a sample: a response reported `in_flight` and took `relative_latency` times the mean latency. */
    void record(double in_flight, double relative_latency);

    /** Weight of load reports in [0, 1]; 0 until there are enough samples. */
    [[nodiscard]] double weight() const;

    /** Correlation coefficient; 0 if one of the two values does not vary. */
    [[nodiscard]] double correlation() const;

private:
    std::uint32_t samples_{0};
    // Moving averages; x is the reported load, y the relative latency.
    double mean_x_{0};
    double mean_y_{0};
    double mean_xx_{0};
    double mean_yy_{0};
    double mean_xy_{0};
};

/** Statistics over all upstreams of a service. @see upstream_stats */
class service_baseline {
public:
    /** Records the latency of a successful response. */
    void record_latency(millis latency);

    /** Records the load of other nodes at an upstream, from a load report. */
    void record_other_nodes_load(double load);

    /** Records a load report and the latency of the response that carried it. */
    void record_report(double in_flight, millis latency);

    /** Mean latency in milliseconds; 0: not known. */
    [[nodiscard]] double latency_ms() const { return latency_ms_; }

    /** 95th percentile of the latency in milliseconds; 0: not known. */
    [[nodiscard]] double p95_ms() const { return p95_ms_; }

    /** Mean number of requests of other nodes at an upstream. */
    [[nodiscard]] double mean_other_nodes_load() const { return mean_other_nodes_load_; }

    /** Unit of the time constants of `upstream_stats` in milliseconds: the mean latency within bounds, or
        10 ms while it is not known. */
    [[nodiscard]] double time_scale_ms() const;

    [[nodiscard]] const report_correlation& reports() const { return reports_; }

private:
    double latency_ms_{0};
    double p95_ms_{0};
    double mean_other_nodes_load_{0};
    report_correlation reports_;
};

} // namespace berylcrank
