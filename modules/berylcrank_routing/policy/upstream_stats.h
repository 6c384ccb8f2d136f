#pragma once

#include "modules/berylcrank_routing/policy/candidate_view.h"

#include <cstdint>

namespace berylcrank {

/** Latency of requests as time in flight divided by answers, both over an exponentially forgotten window.

    Requests still in flight count with their age, so a stalled upstream shows before its first late answer.
    @see upstream_stats
*/
class latency_window {
public:
    explicit latency_window(millis window) : window_ms_(window.value()) {}

    /** `change` requests more in flight. */
    void add(int change, instant now);

    /** An answer came. */
    void complete(instant now);

    /** Estimate in milliseconds with `weight` imagined answers of latency `prior_ms`. */
    [[nodiscard]] double estimate_ms(double prior_ms, double weight, instant now) const;

private:
    void advance(instant now);

    double window_ms_;
    instant at_;
    int in_flight_{0};
    double exposure_ms_{0}; ///< Forgotten time in flight.
    double answers_{0};     ///< Forgotten answers.
};

/** What all upstreams of a service share. @see upstream_stats */
struct service_baseline {
    double latency_ms{0};  ///< Mean latency; 0: not known.
    double late_ms{0};     ///< Latency that 5 in 100 answers exceed; 0: not known.
    double others_mean{0}; ///< Mean of the reported load of other nodes.

    /** Takes a finished request's latency. */
    void learn_latency(millis it);

    /** Takes a report's load of other nodes. */
    void learn_others(double it);
};

/** What a node knows about one upstream: own requests, load of others, slowness, errors.

    The load of the other nodes is the last report less the node's own share, drawn towards the service's mean
    as the report ages. A report that contradicts the node's own evidence lowers the trust in this upstream's
    reports, and with it their weight.
    @see candidate_view
*/
class upstream_stats {
public:
    struct options {
        millis report_lifetime{15}; ///< Time constant with which a report is forgotten.
        millis latency_span{100};   ///< Window of slowness.
        millis error_span{1000};    ///< Time constant with which errors are forgotten.
        double shed_load{2};        ///< Load above its slots that a shed answer implies.
    };

    explicit upstream_stats(const options& it) : options_(it), latency_(it.latency_span) {}

    void on_dispatch(instant now);
    void on_answer(millis latency, service_baseline& base, instant now);
    void on_shed(std::uint32_t slots, instant now);
    void on_failure(instant now);

    /** A request ended without saying anything about the upstream. */
    void on_unused(instant now);

    /** The load carried on an answer that has just been counted, or on a probe. */
    void on_report(const load_report& it, service_baseline& base, instant now);

    /** Fills the measured fields of `view`. */
    void fill(candidate_view& view, const service_baseline& base, instant now) const;

    [[nodiscard]] std::uint32_t in_flight() const { return in_flight_; }
    [[nodiscard]] double trust() const { return trust_; }

private:
    void end(instant now);
    void learn_error(double outcome, instant now);
    [[nodiscard]] bool is_contradicted(const load_report& it, const service_baseline& base,
                                       instant now) const;

    options options_;
    latency_window latency_;
    std::uint32_t in_flight_{0};
    instant last_dispatch_;
    bool has_report_{false};
    std::uint32_t reported_{0};
    double reported_others_{0};
    instant report_at_;
    double trust_{1};
    double error_rate_{0};
    instant error_at_;
};

} // namespace berylcrank
