#include "modules/berylcrank_node/metrics/node_metrics.h"

#include <iterator>
#include <prometheus/text_serializer.h>

namespace berylcrank {

namespace {

prometheus::Family<prometheus::Counter>& counter_family(prometheus::Registry& registry,
                                                        const std::string& name, const std::string& help) {
    return prometheus::BuildCounter().Name("berylcrank_" + name + "_total").Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge>& gauge_family(prometheus::Registry& registry, const std::string& name,
                                                    const std::string& help) {
    return prometheus::BuildGauge().Name("berylcrank_" + name).Help(help).Register(registry);
}

prometheus::Histogram::BucketBoundaries latency_bounds_ms() {
    return {0.1, 0.2, 0.32, 0.5, 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};
}

} // namespace

std::string_view to_string(attempt_end it) {
    constexpr std::array<std::string_view, 11> names{"complete", "connect_failed", "denied",   "shed",
                                                     "reset",    "timed_out",      "stalled",  "truncated",
                                                     "wrong_id", "malformed",      "cancelled"};
    return names[static_cast<std::size_t>(it)];
}

node_metrics::node_metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      requests_(counter_family(*registry_, "requests", "Responses to requests, by verdict")),
      attempts_(counter_family(*registry_, "attempts", "Attempts at upstreams, by outcome")),
      cut_off_(counter_family(*registry_, "answers_cut_off", "Responses that ended early")),
      caller_disconnects_(counter_family(*registry_, "callers_gone",
                                         "Callers that disconnected before the end of the response")),
      probe_cost_(
          counter_family(*registry_, "probe_cost_ms", "Upstream time taken by probes, in milliseconds")),
      in_flight_(
          gauge_family(*registry_, "requests_in_flight", "Requests between arrival and end of response")),
      latency_(prometheus::BuildHistogram()
                   .Name("berylcrank_request_latency_ms")
                   .Help("Time from arrival to end of response, in milliseconds")
                   .Register(*registry_)) {}

service_metrics& node_metrics::service(std::string_view name) {
    const lock_guard hold(mutex_);
    auto& it = services_[std::string(name)];
    if (it == nullptr) {
        it = std::make_unique<service_metrics>();
        add_service(std::string(name), *it);
    }
    return *it;
}

void node_metrics::for_each_service(const std::function<void(const std::string&, service_metrics&)>& visit) {
    const lock_guard hold(mutex_);
    for (auto& [name, it] : services_) {
        visit(name, *it);
    }
}

std::string node_metrics::text(const prometheus::Collectable& more) const {
    auto families = registry_->Collect();
    auto others = more.Collect();
    families.insert(families.end(), std::make_move_iterator(others.begin()),
                    std::make_move_iterator(others.end()));
    return prometheus::TextSerializer().Serialize(families);
}

void node_metrics::add_service(const std::string& name, service_metrics& it) {
    for (const auto verdict : {run_verdict::not_run, run_verdict::may_have_run, run_verdict::ran}) {
        it.requests[static_cast<std::size_t>(verdict)] =
            &requests_.Add({{"service", name}, {"verdict", std::string(to_string(verdict))}});
    }
    for (std::size_t n = 0; n < it.attempts.size(); ++n) {
        it.attempts[n] =
            &attempts_.Add({{"service", name}, {"end", std::string(to_string(static_cast<attempt_end>(n)))}});
    }
    const prometheus::Labels labels{{"service", name}};
    it.cut_off = &cut_off_.Add(labels);
    it.caller_disconnects = &caller_disconnects_.Add(labels);
    it.probe_cost_ms = &probe_cost_.Add(labels);
    it.in_flight = &in_flight_.Add(labels);
    it.latency_ms = &latency_.Add(labels, latency_bounds_ms());
}

} // namespace berylcrank
