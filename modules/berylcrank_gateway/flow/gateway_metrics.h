#pragma once

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace berylcrank {

/** Counters, gauges and latency histograms of a gateway, listed in docs/metrics.md. */
class gateway_metrics {
public:
    gateway_metrics();

    /** Counts a response to a caller and records its latency if `seconds` >= 0. */
    void count_response(const std::string& service, const std::string& result, double seconds);
    /** Counts an attempt that has ended. */
    void count_attempt(const std::string& service, const std::string& result);
    /** Counts a health probe. */
    void count_probe(const std::string& result);
    /** Counts an unusual event: input that cannot be parsed, a retry, a hedge, a pause of the process. */
    void count_event(const std::string& kind);
    /** Sets the gauge of a kind. */
    void set_gauge(const std::string& kind, double value);

    /** Returns all metrics in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& responses_;
    prometheus::Family<prometheus::Histogram>& latency_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Counter>& probes_;
    prometheus::Family<prometheus::Counter>& events_;
    prometheus::Family<prometheus::Gauge>& gauges_;
};

} // namespace berylcrank
