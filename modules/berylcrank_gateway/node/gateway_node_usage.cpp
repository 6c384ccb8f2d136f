#include "modules/berylcrank_gateway/node/gateway_node.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace berylcrank {

namespace {

constexpr millis candidate_interval{100}; // between updates of the nodes that may hold caps

} // namespace

// The largest nodes may hold caps. The order does not depend on which of them are live, so that nodes with
// the same list agree on it.
void gateway_node::update_usage_nodes() {
    std::vector<std::pair<std::uint32_t, std::uint64_t>> nodes{
        {node_.peers.self().capacity, node_.peers.self_number()}};
    for (const auto* it : node_.peers.all()) {
        nodes.emplace_back(it->info.capacity, it->number);
    }
    const auto count = std::min(nodes.size(), usage_owner::max_candidates);
    std::partial_sort(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(count), nodes.end(),
                      std::greater<>());
    std::vector<std::uint64_t> numbers;
    for (std::size_t i = 0; i < count; ++i) {
        numbers.push_back(nodes[i].second);
    }
    node_.usage.set_nodes(numbers, node_.peers.max_known_count());
}

void gateway_node::tick_usage(instant now) {
    // Without a list of nodes, this node would take its part of the caps for too large.
    const bool knows_nodes = has_node_list_ || now - started_ > max_node_list_wait;
    // Requests for tokens end also after a configuration without caps.
    const bool has_work = node_.accounts.has_caps() || node_.usage.client().pending() > 0;
    if (!has_work || !follower_.complete() || !knows_nodes) {
        return;
    }
    if (now >= next_usage_nodes_) {
        next_usage_nodes_ = now + candidate_interval;
        update_usage_nodes();
        report_usage(now);
    }
    node_.usage.tick(usage_transport_, now);
    await_usage_messages();
}

void gateway_node::await_usage_messages() {
    const bool is_urgent = node_.usage.client().pending() > 0 || node_.usage.holder().holds_for_others();
    if (awaits_message_ || !is_urgent) {
        return;
    }
    awaits_message_ = true;
    gossip_.wait([this] {
        awaits_message_ = false;
        try {
            receive_messages();
        } catch (const std::exception& error) {
            report_error(error.what());
        }
        await_usage_messages();
    });
}

void gateway_node::report_usage(instant now) {
    const auto& usage = node_.usage;
    const auto& counts = usage.client().counts();
    node_.metrics.set_gauge("usage_granted", static_cast<double>(counts.granted));
    node_.metrics.set_gauge("usage_over_limit", static_cast<double>(counts.over_limit));
    node_.metrics.set_gauge("usage_no_holder", static_cast<double>(counts.no_holder));
    node_.metrics.set_gauge("usage_retried", static_cast<double>(counts.retried));
    node_.metrics.set_gauge("usage_pending", static_cast<double>(usage.client().pending()));
    node_.metrics.set_gauge("usage_nodes", usage.holder().node_count());
    node_.metrics.set_gauge("usage_buckets", static_cast<double>(usage.holder().bucket_count()));
    double held = 0;
    for (std::size_t group = 0; group < usage_group_count; ++group) {
        held += usage.holder().lent_share(group);
    }
    node_.metrics.set_gauge("usage_groups_held", held);
    const auto holders = usage.owner().usable_count(now);
    if (holders != usage_holders_) {
        log_.line("usage-holders")
            .field("responding", static_cast<std::uint64_t>(holders))
            .field("before", static_cast<std::uint64_t>(usage_holders_))
            .field("nodes", static_cast<std::uint64_t>(usage.holder().node_count()))
            .field("groups_held", held)
            .send();
        usage_holders_ = holders;
    }
}

} // namespace berylcrank
