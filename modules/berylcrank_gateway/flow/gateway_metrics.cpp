#include "modules/berylcrank_gateway/flow/gateway_metrics.h"

#include <prometheus/text_serializer.h>

namespace berylcrank {

namespace {

const prometheus::Histogram::BucketBoundaries& latency_bounds() {
    static const prometheus::Histogram::BucketBoundaries bounds{0.01, 0.025, 0.05, 0.1, 0.2, 0.3,
                                                                0.5,  0.8,   1.2,  2,   4,   8};
    return bounds;
}

} // namespace

gateway_metrics::gateway_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      responses_(prometheus::BuildCounter()
                     .Name("berylcrank_responses_total")
                     .Help("Responses to callers by service and result.")
                     .Register(*registry_)),
      latency_(prometheus::BuildHistogram()
                   .Name("berylcrank_response_seconds")
                   .Help("Time from the last byte of a request to the end of its response.")
                   .Register(*registry_)),
      attempts_(prometheus::BuildCounter()
                    .Name("berylcrank_attempts_total")
                    .Help("Requests sent to upstreams by service and result.")
                    .Register(*registry_)),
      probes_(prometheus::BuildCounter()
                  .Name("berylcrank_probes_total")
                  .Help("Health probes by result.")
                  .Register(*registry_)),
      events_(prometheus::BuildCounter()
                  .Name("berylcrank_events_total")
                  .Help("Unusual events by kind.")
                  .Register(*registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("berylcrank_level")
                  .Help("Current values by kind: ages of replicated state in seconds, and counts.")
                  .Register(*registry_)) {}

void gateway_metrics::count_response(const std::string& service, const std::string& result, double seconds) {
    responses_.Add({{"service", service}, {"result", result}}).Increment();
    if (seconds >= 0) {
        latency_.Add({{"service", service}, {"result", result}}, latency_bounds()).Observe(seconds);
    }
}

void gateway_metrics::count_attempt(const std::string& service, const std::string& result) {
    attempts_.Add({{"service", service}, {"result", result}}).Increment();
}

void gateway_metrics::count_probe(const std::string& result) {
    probes_.Add({{"result", result}}).Increment();
}

void gateway_metrics::count_event(const std::string& kind) {
    events_.Add({{"kind", kind}}).Increment();
}

void gateway_metrics::set_gauge(const std::string& kind, double value) {
    gauges_.Add({{"kind", kind}}).Set(value);
}

std::string gateway_metrics::text() const {
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace berylcrank
