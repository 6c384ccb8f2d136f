#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_node/metrics/service_metrics.h"

#include "absl/container/node_hash_map.h"
#include <functional>
#include <memory>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace berylcrank {

/** All metrics of one node. docs/metrics.md lists them with their units.
    A service appears with its first request. Thread-safe.
    @see service_metrics
*/
class node_metrics {
public:
    node_metrics();

    /** Metrics of a service; the reference stays valid. */
    service_metrics& service(std::string_view name);

    /** Calls `visit` for each service seen so far. */
    void for_each_service(const std::function<void(const std::string&, service_metrics&)>& visit);

    /** All metrics in the Prometheus text format, with those of `more`. */
    [[nodiscard]] std::string text(const prometheus::Collectable& more) const;

private:
    void add_service(const std::string& name, service_metrics& it);

    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Counter>& cut_off_;
    prometheus::Family<prometheus::Counter>& caller_disconnects_;
    prometheus::Family<prometheus::Counter>& probe_cost_;
    prometheus::Family<prometheus::Gauge>& in_flight_;
    prometheus::Family<prometheus::Histogram>& latency_;
    mutex mutex_;
    absl::node_hash_map<std::string, std::unique_ptr<service_metrics>> services_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
