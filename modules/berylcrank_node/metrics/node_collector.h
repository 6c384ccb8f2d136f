#pragma once

#include "modules/berylcrank_membership/view/peer_view.h"
#include "modules/berylcrank_node/control/config_follower.h"
#include "modules/berylcrank_node/request/order_flow.h"
#include "modules/berylcrank_once/table/order_table.h"
#include "modules/berylcrank_routing/cold/permit_issuer.h"
#include "modules/berylcrank_rpc/peer/peer_client.h"
#include "modules/berylcrank_suspect/table/suspect_table.h"

#include <prometheus/client_metric.h>
#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>
#include <prometheus/metric_type.h>
#include <vector>

namespace berylcrank {

/** Collects the counters of a node's components at each scrape.
    Thread-safe.
    @see node_metrics, docs/metrics.md
*/
class node_collector final : public prometheus::Collectable {
public:
    /** Sources of the counters; all must outlive the collector. */
    struct dependencies {
        const clock& time;
        const peer_endpoint& endpoint;
        const order_flow& orders;
        const order_table& table;
        const config_follower& config;
        const permit_issuer& issuer;
        const peer_view& peers;
        const suspect_table& suspects;
    };

    explicit node_collector(const dependencies& it) : deps_(it) {}

    [[nodiscard]] std::vector<prometheus::MetricFamily>
    Collect() const override; // NOLINT(readability-identifier-naming)

private:
    dependencies deps_;
};

} // namespace berylcrank
