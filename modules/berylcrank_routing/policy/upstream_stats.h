#pragma once

#include "modules/berylcrank_routing/policy/candidate_view.h"
#include "modules/berylcrank_routing/policy/service_baseline.h"

#include <cstdint>

namespace berylcrank {

/** Estimates latency as time in flight divided by completions, both with exponential decay.

    Requests in flight contribute their age, so a stalled upstream is detected before its first late
    response.
    @see upstream_stats
*/
class latency_window {
public:
    /** Changes the number of requests in flight by `delta`. */
    void add(int delta, double window_ms, instant now);

    /** Records a completed request. */
    void complete(double window_ms, instant now);

    /** Estimated latency in milliseconds, with a prior of `weight` completions of latency `prior_ms`. */
    [[nodiscard]] double estimate_ms(double prior_ms, double weight, double window_ms, instant now) const;

private:
    void advance(double window_ms, instant now);

    instant at_;
    int in_flight_{0};
    double in_flight_ms_{0}; ///< Decayed time in flight.
    double completions_{0};  ///< Decayed number of completions.
};

/** Statistics of one upstream at one node: requests in flight, load of other nodes, slowness and error
    rate.

    The load of the other nodes is estimated as the service's mean plus a deviation. The deviation is the
    difference between the upstream's last report and its mean report. It decays with the age of the report
    and is weighted by the correlation of reports with latency in this service. An upstream that always
    reports the same number therefore has no deviation. The lifetimes and the latency window are multiples
    of `service_baseline::time_scale_ms`.
    @see candidate_view, report_correlation
*/
class upstream_stats {
public:
    struct options {
        double below_mean_lifetime{
            0.8}; ///< Of reports below the mean; short, because free slots are taken soon.
        double above_mean_lifetime{2.5};  ///< Of reports above the mean; longer, because queues drain slowly.
        double latency_span{10};          ///< Window of the latency estimate.
        millis error_time_constant{1000}; ///< Decay of the error rate.
        double shed_excess_load{2}; ///< Requests above its slots that an upstream has when it sheds one.
    };

    explicit upstream_stats(const options& opts) : options_(opts) {}

    /** Records a sent request. */
    void on_dispatch(const service_baseline& base, instant now);

    /** Records a successful response. */
    void on_response(millis latency, service_baseline& base, instant now);

    /** Records a shed request. */
    void on_shed(std::uint32_t slots, const service_baseline& base, instant now);

    /** Records any other failure. */
    void on_failure(const service_baseline& base, instant now);

    /** Records the end of a request whose outcome does not depend on the upstream. */
    void on_unused(const service_baseline& base, instant now);

    /** Records a load report from a probe, or from a response whose request still counts as in flight. */
    void on_report(const load_report& report, service_baseline& base, instant now);

    /** Sets the measured fields of `view`. */
    void fill(candidate_view& view, const service_baseline& base, instant now) const;

    [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }

private:
    void end_request(const service_baseline& base, instant now);
    void record_error(double outcome, instant now);
    [[nodiscard]] double window_ms(const service_baseline& base) const {
        return base.time_scale_ms() * options_.latency_span;
    }

    options options_;
    latency_window latency_;
    std::uint32_t in_flight_{0};
    bool has_report_{false};
    std::uint32_t reported_load_{0};
    double other_nodes_load_{0};       ///< In the last report.
    double mean_other_nodes_load_{-1}; ///< Mean over reports; below 0: no report yet.
    bool was_shed_{false};             ///< The last observation is a shed request and not a report.
    instant report_at_;
    double error_rate_{0};
    instant error_at_;
};

} // namespace berylcrank
