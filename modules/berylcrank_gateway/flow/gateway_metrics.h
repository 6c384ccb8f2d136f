#pragma once

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace berylcrank {

/** Counters and latency histograms of a gateway, listed in docs/metrics.md. */
class gateway_metrics {
public:
    gateway_metrics();

    /** Counts a response to a caller and, for `seconds` >= 0, its latency. */
    void response(const std::string& service, const std::string& result, double seconds);
    /** Counts the end of an attempt at an upstream. */
    void attempt(const std::string& service, const std::string& result);
    /** Counts a probe. */
    void probe(const std::string& result);
    /** Counts something unusual: input that cannot be read, resends, changes of belief. */
    void event(const std::string& kind);
    /** Sets a gauge. */
    void level(const std::string& kind, double value);

    /** All metrics in the text format. */
    [[nodiscard]] std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& responses_;
    prometheus::Family<prometheus::Histogram>& latency_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Counter>& probes_;
    prometheus::Family<prometheus::Counter>& events_;
    prometheus::Family<prometheus::Gauge>& levels_;
};

} // namespace berylcrank
