#include "modules/berylcrank_gateway/node/gateway_node.h"

#include <algorithm>
#include <array>

namespace berylcrank {

namespace {

constexpr std::size_t local_fanout = 2; // receivers of a roster in this node's failure domain
// Receivers of a roster in other failure domains. Only the first node of a cell sends to them.
constexpr std::size_t distant_fanout = 3;
constexpr std::size_t max_known_in_hello = 8; // addresses of other nodes in a hello
constexpr std::size_t max_suspects = 16;      // in a message
// Receivers of changed suspects in other cells, which relay them. With three copies, 12 nodes hear of a
// change from its first node, so that nearly all of 10 cells do.
constexpr std::size_t suspect_fanout = 4;
constexpr millis suspect_interval{100}; // minimum time between messages about suspects to other cells

} // namespace

node_message gateway_node::message(instant now) const {
    return {.node = node_.peers.self_number(),
            .incarnation = node_.peers.self().incarnation,
            .ready = ready(),
            .watermarks = follower_.watermarks(now),
            .heartbeat = heartbeat_,
            .store_unreachable = follower_.store_lost()};
}

void gateway_node::send_hello_to(const node_info& it, bool request_hello) {
    const auto now = time_.now();
    auto hello = message(now);
    hello.has_watermarks = true;
    hello.self = node_.peers.self();
    hello.requests_hello = request_hello;
    const std::array<gossip_socket::endpoint, 1> to{gossip_socket::address(it.ip, it.gossip_port)};
    gossip_.send(encode(hello, now), to);
}

void gateway_node::contact_seeds() {
    for (const auto& ip : node_.options.seed_ips) {
        if (ip != node_.peers.self().ip) {
            send_hello_to({.ip = ip, .gossip_port = node_.peers.self().gossip_port}, true);
        }
    }
}

void gateway_node::exchange_messages(instant now) {
    if (now < next_message_) {
        return;
    }
    next_message_ = now + (node_.waiting.size() > 0 ? node_.options.busy_message_interval
                                                    : node_.options.message_interval);
    ++heartbeat_;
    for (const auto number : node_.peers.expire(now)) {
        node_.loads.set_peer_in_flight(number, {});
        node_.shares.forget(number);
        const auto* it = node_.peers.find(number);
        log_.line("peer-silent").field("peer", it == nullptr ? "" : it->info.name).send();
    }
    send_loads(now);
    send_suspects(now);
    const auto last_read_number = follower_.last_read_number();
    if (last_read_number != last_sent_read_) {
        last_sent_read_ = last_read_number;
        send_watermarks(now, true);
    }
    if (now >= next_hello_) {
        next_hello_ = now + node_.options.hello_interval;
        send_hello(now);
    }
    if (now >= next_seed_contact_ && !node_.peers.has_live(now)) {
        next_seed_contact_ = heard_peer_ ? now + node_.options.hello_interval : now;
        contact_seeds();
    }
    node_.loads.set_has_untracked_nodes(node_.peers.has_multiple_cells());
    if (node_.peers.has_multiple_cells() && now >= next_roster_) {
        next_roster_ = now + node_.options.roster_interval;
        send_roster(now);
    }
}

void gateway_node::send_to(const node_message& it, const std::vector<const peer*>& peers, instant now) {
    std::vector<gossip_socket::endpoint> to;
    to.reserve(peers.size());
    for (const auto* peer : peers) {
        to.push_back(gossip_socket::address(peer->info.ip, peer->info.gossip_port));
    }
    if (!to.empty()) {
        gossip_.send(encode(it, now), to);
    }
}

void gateway_node::send_watermarks(instant now, bool to_all) {
    auto it = message(now);
    it.has_watermarks = true;
    std::vector<const peer*> to;
    for (const auto* peer : node_.peers.live(now)) {
        if (to_all || node_.peers.relation(*peer) == peer_relation::same_cell) {
            to.push_back(peer);
        }
    }
    send_to(it, to, now);
}

void gateway_node::send_loads(instant now) {
    auto it = message(now);
    for (auto& [number, load] : node_.loads.all()) {
        if (load.own > 0) {
            it.in_flight.push_back({.upstream = number, .count = load.own});
        }
        const bool outcomes = load.unsent.good >= 1 || load.unsent.bad >= 1;
        if (!load.report_unsent && !outcomes) {
            continue;
        }
        load_update update{.upstream = number, .outcomes = load.unsent, .unreachable = load.down_until > now};
        if (load.report_unsent) {
            update.report = load.report;
        }
        const auto target = node_.upstreams.find(number);
        if (target && !target->unverified && node_.is_responsible_for(*target, now)) {
            update.warm_up_left = std::max(millis{}, target->cold_until - now);
        }
        load.unsent = {};
        load.report_unsent = false;
        it.loads.push_back(update);
    }
    if (now >= node_.announced_leaves_until) {
        node_.announced_leaves.clear();
    }
    it.leaving = node_.announced_leaves;
    it.suspects = node_.suspects.take_changes(max_suspects, now);
    for (const auto& service : node_.waiting.services()) {
        it.waiting.push_back(node_.waiting.count(service));
        it.waiting.back().per_second = gateway_.arrivals_per_second(service);
    }
    std::vector<const peer*> to;
    for (const auto* peer : node_.peers.live(now)) {
        if (node_.peers.relation(*peer) == peer_relation::same_cell) {
            to.push_back(peer);
        }
    }
    send_to(it, to, now);
}

void gateway_node::send_suspects(instant now) {
    if (!node_.peers.has_multiple_cells() || now < next_suspects_) {
        return;
    }
    auto it = message(now);
    it.suspects = node_.suspects.take_changes(max_suspects, now, report_scope::other_cells);
    if (it.suspects.empty()) {
        return;
    }
    next_suspects_ = now + suspect_interval;
    it.self = node_.peers.self(); // distant nodes may not know this start of the process
    auto others = node_.peers.live(now);
    std::erase_if(others,
                  [](const auto* peer) { return peer_table::relation(*peer) == peer_relation::same_cell; });
    std::vector<const peer*> to;
    while (to.size() < suspect_fanout && !others.empty()) {
        const auto at = others.begin() + static_cast<std::ptrdiff_t>(node_.random.below(others.size()));
        to.push_back(*at);
        others.erase(at);
    }
    send_to(it, to, now);
}

void gateway_node::send_hello(instant now) {
    auto it = message(now);
    it.has_watermarks = true;
    it.self = node_.peers.self();
    it.suspects = node_.suspects.refused(max_suspects, now);
    std::vector<const peer*> to;
    for (const auto* peer : node_.peers.all()) {
        if (node_.peers.relation(*peer) != peer_relation::distant) {
            to.push_back(peer);
        }
        // In a large deployment, nodes find each other through lists, and decoding hellos costs more.
        if (!node_.peers.has_multiple_cells() && it.known.size() < max_known_in_hello &&
            node_.peers.is_live(*peer, now)) {
            it.known.push_back(peer->info);
        }
    }
    send_to(it, to, now);
}

void gateway_node::send_roster(instant now) {
    auto it = message(now);
    it.has_watermarks = true;
    it.self = node_.peers.self();
    it.suspects = node_.suspects.refused(max_suspects, now);
    std::vector<const peer*> local;
    std::vector<const peer*> distant;
    for (const auto* peer : node_.peers.live(now)) {
        (node_.peers.relation(*peer) == peer_relation::distant ? distant : local).push_back(peer);
    }
    const auto send_to_some = [&](const std::vector<const peer*>& nodes, std::size_t count) {
        std::vector<const peer*> to;
        for (std::size_t i = 0; i < count && !nodes.empty(); ++i) {
            to.push_back(nodes[node_.random.below(nodes.size())]);
        }
        it.roster = node_.peers.roster(&nodes == &local, node_.random, now);
        send_to(it, to, now);
    };
    send_to_some(local, local_fanout);
    if (node_.peers.rank_in_cell(now) == 0) {
        send_to_some(distant, distant_fanout);
    }
}

bool gateway_node::update_sender(const node_message& it, instant now) {
    const roster_entry state{.number = it.node,
                             .incarnation = it.incarnation,
                             .beat = it.heartbeat,
                             .ready = it.ready,
                             .blind = it.store_unreachable};
    if (!it.self) {
        return node_.peers.on_heartbeat(state, now);
    }
    if (node_.peers.on_hello(*it.self, state, now)) {
        log_.line("peer-heard")
            .field("peer", it.self->name)
            .field("incarnation", it.self->incarnation)
            .send();
    }
    return true;
}

void gateway_node::on_message(const node_message& it) {
    const auto now = time_.now();
    if (it.usage) {
        if (it.self) {
            node_.peers.learn(*it.self, now);
        }
        node_.usage.on_message(*it.usage, usage_transport_, now);
        return;
    }
    if (it.node == node_.peers.self_number() || !update_sender(it, now)) {
        return; // the next hello of an unknown node or incarnation brings its address
    }
    on_peer_heard(now);
    const bool has_unknown = node_.peers.merge_roster(it.roster, now);
    const auto* sender = node_.peers.find(it.node);
    if (sender == nullptr) {
        return;
    }
    if (has_unknown) {
        on_unknown_node(*sender, now);
    }
    if (it.requests_hello) {
        send_hello_to(sender->info, false);
    }
    contact_new_nodes(it.known, now);
    const bool is_same_cell = node_.peers.relation(*node_.peers.find(it.node)) == peer_relation::same_cell;
    node_.suspects.merge(it.suspects, now, is_same_cell ? report_scope::cell : report_scope::other_cells);
    if (is_same_cell) {
        apply_loads(it, now);
    }
    if (it.has_watermarks && follower_.on_watermarks(it.watermarks, now)) {
        on_newer_state(*node_.peers.find(it.node), now);
    }
}

void gateway_node::contact_new_nodes(const std::vector<node_info>& known, instant now) {
    for (const auto& info : known) {
        if (node_.peers.learn(info, now)) {
            send_hello_to(info, true);
        }
    }
}

void gateway_node::apply_loads(const node_message& it, instant now) {
    node_.loads.set_peer_in_flight(it.node, it.in_flight);
    node_.shares.update_demand(it.node, node_.peers.find(it.node)->info.failure_domain, it.waiting, now);
    for (const auto number : it.leaving) {
        if (const auto target = node_.upstreams.find(number)) {
            node_.mark_leaving(*target);
        }
    }
    for (const auto& update : it.loads) {
        if (update.report) {
            node_.loads.report(update.upstream, *update.report, false);
        }
        if (update.outcomes.good > 0 || update.outcomes.bad > 0) {
            node_.loads.outcome(update.upstream, update.outcomes, now, false);
        }
        if (update.unreachable) {
            node_.loads.unreachable(update.upstream, now);
        }
        if (const auto target = node_.upstreams.find(update.upstream); target && update.warm_up_left) {
            node_.apply_peer_warm_up(*target, *update.warm_up_left, now);
        }
    }
}

} // namespace berylcrank
