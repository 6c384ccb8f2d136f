#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>

namespace berylcrank {

/** How much the reports of a service tell about its latency.

    An upstream's load at the end of a request and that request's latency correlate if the report is current:
    a long wait means a queue. Reports that are stale or made up do not correlate and get no weight.
    @see service_baseline
*/
class report_correlation {
public:
    /** A request ended with `relative_latency` (1: the mean) and the answer reported `in_flight`. */
    void learn(double in_flight, double relative_latency);

    /** Weight of reports in [0, 1]; 0 until enough answers were seen. */
    [[nodiscard]] double weight() const;

    [[nodiscard]] double correlation() const;

private:
    std::uint32_t answers_{0};
    double x_{0};
    double y_{0};
    double xx_{0};
    double yy_{0};
    double xy_{0};
};

/** What all upstreams of a service share. @see upstream_stats */
class service_baseline {
public:
    /** Takes a good answer's latency. */
    void learn_latency(millis it);

    /** Takes the load of other nodes from a report. */
    void learn_others(double it);

    /** Takes the load that came with an answer. */
    void learn_report(double in_flight, millis latency);

    /** Mean latency; 0: not known. */
    [[nodiscard]] double latency_ms() const { return latency_ms_; }

    /** Latency that 5 in 100 answers exceed; 0: not known. */
    [[nodiscard]] double late_ms() const { return late_ms_; }

    /** Mean load of other nodes at an upstream. */
    [[nodiscard]] double others_mean() const { return others_mean_; }

    /** Time constants are multiples of this; a guess of 10 ms until the latency is known. */
    [[nodiscard]] double time_scale_ms() const;

    [[nodiscard]] const report_correlation& reports() const { return reports_; }

private:
    double latency_ms_{0};
    double late_ms_{0};
    double others_mean_{0};
    report_correlation reports_;
};

} // namespace berylcrank
