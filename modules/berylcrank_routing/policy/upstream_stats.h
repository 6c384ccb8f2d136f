#pragma once

#include "modules/berylcrank_routing/policy/candidate_view.h"
#include "modules/berylcrank_routing/policy/service_baseline.h"

#include <cstdint>

namespace berylcrank {

/** Latency of requests as time in flight divided by answers, both over an exponentially forgotten window.

    Requests still in flight count with their age, so a stalled upstream shows before its first late answer.
    @see upstream_stats
*/
class latency_window {
public:
    /** `change` requests more in flight. */
    void add(int change, double window_ms, instant now);

    /** An answer came. */
    void complete(double window_ms, instant now);

    /** Estimate in milliseconds with `weight` imagined answers of latency `prior_ms`. */
    [[nodiscard]] double estimate_ms(double prior_ms, double weight, double window_ms, instant now) const;

private:
    void advance(double window_ms, instant now);

    instant at_;
    int in_flight_{0};
    double exposure_ms_{0}; ///< Forgotten time in flight.
    double answers_{0};     ///< Forgotten answers.
};

/** What a node knows about one upstream: own requests, load of others, slowness, errors.

    The load of the other nodes is estimated as the service's mean plus a deviation: how far the last report
    lies from what this upstream usually reports, forgotten as the report ages, and weighted by the value that
    reports have had in this service. An upstream that always reports the same number says nothing with it.
    All time constants are multiples of the service's mean latency.
    @see candidate_view, report_correlation
*/
class upstream_stats {
public:
    struct options {
        double free_lifetime{0.8}; ///< Lifetime of a report of less load than usual: free slots go fast.
        double busy_lifetime{2.5}; ///< Lifetime of a report of more load than usual: queues drain slowly.
        double latency_span{10};   ///< Window of slowness.
        millis error_span{1000};   ///< Time constant with which errors are forgotten.
        double shed_load{2};       ///< Load above its slots that a shed answer implies.
    };

    explicit upstream_stats(const options& it) : options_(it) {}

    void on_dispatch(const service_baseline& base, instant now);
    void on_answer(millis latency, service_baseline& base, instant now);
    void on_shed(std::uint32_t slots, const service_baseline& base, instant now);
    void on_failure(const service_baseline& base, instant now);

    /** A request ended without saying anything about the upstream. */
    void on_unused(const service_baseline& base, instant now);

    /** The load carried on an answer whose request still counts as in flight, or on a probe. */
    void on_report(const load_report& it, service_baseline& base, instant now);

    /** Fills the measured fields of `view`. */
    void fill(candidate_view& view, const service_baseline& base, instant now) const;

    [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }

private:
    void end(const service_baseline& base, instant now);
    void learn_error(double outcome, instant now);
    [[nodiscard]] double window_ms(const service_baseline& base) const {
        return base.time_scale_ms() * options_.latency_span;
    }

    options options_;
    latency_window latency_;
    std::uint32_t in_flight_{0};
    bool has_report_{false};
    std::uint32_t reported_{0};
    double others_{0};        ///< Last reported load of other nodes.
    double usual_others_{-1}; ///< Its mean; below 0: none yet.
    bool was_shed_{false};    ///< The last news is a shed answer, not a report.
    instant report_at_;
    double error_rate_{0};
    instant error_at_;
};

} // namespace berylcrank
