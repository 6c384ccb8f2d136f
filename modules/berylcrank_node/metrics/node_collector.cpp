#include "modules/berylcrank_node/metrics/node_collector.h"

#include <array>
#include <string>
#include <utility>

namespace berylcrank {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

/** One value of a family; an empty label means that the family has no label. */
struct sample {
    std::string label;
    double value{0};
};

MetricFamily make_family(const std::string& name, const std::string& help, MetricType type,
                         const std::string& label, const std::vector<sample>& samples) {
    MetricFamily family{.name = "berylcrank_" + name, .help = help, .type = type, .metric = {}};
    for (const auto& it : samples) {
        ClientMetric metric;
        if (!it.label.empty()) {
            metric.label.push_back({.name = label, .value = it.label});
        }
        (type == MetricType::Counter ? metric.counter.value : metric.gauge.value) = it.value;
        family.metric.push_back(std::move(metric));
    }
    return family;
}

sample value_of(std::string label, std::uint64_t n) {
    return {.label = std::move(label), .value = static_cast<double>(n)};
}

MetricFamily order_family(const order_flow::counters& it) {
    return make_family("orders_total", "Copies of orders, by result", MetricType::Counter, "result",
                       {value_of("received", it.received), value_of("run_here", it.run_here),
                        value_of("relayed_out", it.relayed_out), value_of("relayed_in", it.relayed_in),
                        value_of("invalid", it.invalid), value_of("home_unknown", it.home_unknown),
                        value_of("home_refused", it.home_refused), value_of("home_silent", it.home_silent)});
}

MetricFamily record_family(const apply_counters& it) {
    return make_family("config_records_total", "Log records, by result", MetricType::Counter, "result",
                       {value_of("accepted", it.accepted), value_of("rejected", it.rejected),
                        value_of("duplicate", it.duplicate), value_of("malformed", it.malformed),
                        value_of("gaps", it.gaps)});
}

MetricFamily permit_family(const permit_issuer::counters& it) {
    return make_family(
        "permits_total", "Permit requests at this holder, by result", MetricType::Counter, "result",
        {value_of("granted", it.granted), value_of("refused_full", it.refused_full),
         value_of("refused_waiting", it.refused_waiting),
         value_of("refused_unconfirmed", it.refused_unconfirmed), value_of("expired", it.expired)});
}

MetricFamily suspect_family(const suspect_table& it) {
    return make_family("suspect_requests_total", "Requests that were refused because they crash upstreams",
                       MetricType::Counter, "result",
                       {value_of("refused", it.refusals()), value_of("refused_falsely", it.false_refusals()),
                        value_of("untracked", it.untracked())});
}

MetricFamily peer_family(const std::vector<peer_member>& members) {
    std::array<std::uint64_t, 4> n{};
    for (const auto& it : members) {
        ++n.at(static_cast<std::size_t>(it.state));
    }
    return make_family("peers", "Members that are not gone, by state", MetricType::Gauge, "state",
                       {value_of("alive", n[0]), value_of("silent", n[1]), value_of("leaving", n[2])});
}

} // namespace

std::vector<MetricFamily> node_collector::Collect() const {
    const auto config = deps_.config.summary(0);
    return {make_family("control_bytes_total", "RPC bytes sent and received", MetricType::Counter, "",
                        {value_of("", deps_.endpoint.traffic_bytes())}),
            order_family(deps_.orders.count()),
            make_family("ids_remembered", "Ids in the order table", MetricType::Gauge, "",
                        {value_of("", deps_.table.count().entries)}),
            make_family("config_applied_offset", "Next log offset to read", MetricType::Gauge, "",
                        {value_of("", config.applied)}),
            record_family(config.counters),
            permit_family(deps_.issuer.count()),
            make_family("suspects", "Requests that may crash upstreams", MetricType::Gauge, "",
                        {value_of("", deps_.suspects.size())}),
            make_family("suspect_losses", "Lost connections that count against suspects", MetricType::Gauge,
                        "", {value_of("", deps_.suspects.losses())}),
            suspect_family(deps_.suspects),
            peer_family(deps_.peers.members(deps_.time.now()))};
}

} // namespace berylcrank
