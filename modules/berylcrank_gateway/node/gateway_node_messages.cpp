#include "modules/berylcrank_gateway/node/gateway_node.h"

#include <algorithm>
#include <array>

namespace berylcrank {

namespace {

constexpr std::size_t near_fanout = 2;    // nodes of the own failure domain that a roster goes to
constexpr std::size_t distant_fanout = 3; // nodes of others that the first node of a cell sends its roster to
constexpr std::size_t known_in_hello = 8; // addresses of other nodes in a message

} // namespace

node_message gateway_node::message(instant now) const {
    return {.node = node_.peers.self_number(),
            .incarnation = node_.peers.self().incarnation,
            .ready = ready(),
            .marks = follower_.marks(now),
            .beat = beat_,
            .blind = follower_.store_lost()};
}

void gateway_node::greet(const node_info& it, bool asks) {
    const auto now = time_.now();
    auto hello = message(now);
    hello.has_marks = true;
    hello.self = node_.peers.self();
    hello.asks_self = asks;
    const std::array<gossip_link::endpoint, 1> to{gossip_link::address(it.ip, it.gossip_port)};
    gossip_.send(encode(hello, now), to);
}

void gateway_node::greet_seeds() {
    for (const auto& ip : node_.options.seed_ips) {
        if (ip != node_.peers.self().ip) {
            greet({.ip = ip, .gossip_port = node_.peers.self().gossip_port}, true);
        }
    }
}

void gateway_node::exchange_messages(instant now) {
    if (now < next_message_) {
        return;
    }
    next_message_ =
        now + (node_.waiting.size() > 0 ? node_.options.busy_interval : node_.options.message_interval);
    ++beat_;
    for (const auto number : node_.peers.expire(now)) {
        node_.loads.set_peer_in_flight(number, {});
        node_.shares.forget(number);
        const auto* it = node_.peers.find(number);
        log_.line("peer-silent").field("peer", it == nullptr ? "" : it->info.name).send();
    }
    send_loads(now);
    const auto own_reads = follower_.own_reads();
    if (own_reads != marks_sent_) {
        marks_sent_ = own_reads;
        send_marks(now, true);
    }
    if (now >= next_hello_) {
        next_hello_ = now + node_.options.hello_interval;
        send_hello(now);
        if (node_.peers.live(now).empty()) {
            greet_seeds();
        }
    }
    node_.loads.set_has_untracked_nodes(node_.peers.has_multiple_cells());
    if (node_.peers.has_multiple_cells() && now >= next_roster_) {
        next_roster_ = now + node_.options.roster_interval;
        send_roster(now);
    }
}

void gateway_node::send_to(const node_message& it, const std::vector<const peer*>& peers, instant now) {
    std::vector<gossip_link::endpoint> to;
    to.reserve(peers.size());
    for (const auto* peer : peers) {
        to.push_back(gossip_link::address(peer->info.ip, peer->info.gossip_port));
    }
    if (!to.empty()) {
        gossip_.send(encode(it, now), to);
    }
}

void gateway_node::send_marks(instant now, bool to_all) {
    auto it = message(now);
    it.has_marks = true;
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
        load_news news{.upstream = number, .outcomes = load.unsent, .unreachable = load.down_until > now};
        if (load.report_unsent) {
            news.report = load.report;
        }
        const auto target = node_.upstreams.find(number);
        if (target && node_.answers_for(*target, now)) {
            news.cold_left = std::max(millis{}, target->cold_until - now);
        }
        load.unsent = {};
        load.report_unsent = false;
        it.loads.push_back(news);
    }
    for (const auto& service : node_.waiting.services()) {
        it.waiting.push_back(node_.waiting.count(service));
        it.waiting.back().per_second = gateway_.arriving_per_second(service);
    }
    std::vector<const peer*> to;
    for (const auto* peer : node_.peers.live(now)) {
        if (node_.peers.relation(*peer) == peer_relation::same_cell) {
            to.push_back(peer);
        }
    }
    send_to(it, to, now);
}

void gateway_node::send_hello(instant now) {
    auto it = message(now);
    it.has_marks = true;
    it.self = node_.peers.self();
    std::vector<const peer*> to;
    for (const auto* peer : node_.peers.all()) {
        if (node_.peers.relation(*peer) != peer_relation::distant) {
            to.push_back(peer);
        }
        if (it.known.size() < known_in_hello && node_.peers.is_live(*peer, now)) {
            it.known.push_back(peer->info);
        }
    }
    send_to(it, to, now);
}

void gateway_node::send_roster(instant now) {
    auto it = message(now);
    it.has_marks = true;
    it.self = node_.peers.self();
    it.roster = node_.peers.roster(now);
    std::vector<const peer*> near;
    std::vector<const peer*> distant;
    for (const auto* peer : node_.peers.live(now)) {
        (node_.peers.relation(*peer) == peer_relation::distant ? distant : near).push_back(peer);
    }
    std::vector<const peer*> to;
    for (std::size_t i = 0; i < near_fanout && !near.empty(); ++i) {
        to.push_back(near[node_.random.below(near.size())]);
    }
    const bool first = node_.peers.rank_in_cell(now) == 0;
    for (std::size_t i = 0; first && i < distant_fanout && !distant.empty(); ++i) {
        to.push_back(distant[node_.random.below(distant.size())]);
    }
    send_to(it, to, now);
}

void gateway_node::hear(const node_message& it) {
    const auto now = time_.now();
    if (it.node == node_.peers.self_number()) {
        return;
    }
    const roster_entry state{.number = it.node,
                             .incarnation = it.incarnation,
                             .beat = it.beat,
                             .ready = it.ready,
                             .blind = it.blind};
    if (it.self) {
        if (node_.peers.on_hello(*it.self, state, now)) {
            log_.line("peer-heard")
                .field("peer", it.self->name)
                .field("incarnation", it.self->incarnation)
                .send();
        }
    } else if (!node_.peers.on_heartbeat(state, now)) {
        return; // its address follows with its next hello
    }
    node_.peers.merge_roster(it.roster, now);
    const auto* sender = node_.peers.find(it.node);
    if (sender == nullptr) {
        return;
    }
    if (it.asks_self) {
        greet(sender->info, false);
    }
    for (const auto& info : it.known) {
        if (node_.peers.learn(info, now)) {
            greet(info, true);
        }
    }
    if (node_.peers.relation(*node_.peers.find(it.node)) == peer_relation::same_cell) {
        learn_loads(it, now);
    }
    if (it.has_marks && follower_.hear(it.marks, now)) {
        fall_behind(*node_.peers.find(it.node), now);
    }
}

void gateway_node::learn_loads(const node_message& it, instant now) {
    node_.loads.set_peer_in_flight(it.node, it.in_flight);
    node_.shares.update_demand(it.node, node_.peers.find(it.node)->info.failure_domain, it.waiting, now);
    for (const auto& news : it.loads) {
        if (news.report) {
            node_.loads.report(news.upstream, *news.report, false);
        }
        if (news.outcomes.good > 0 || news.outcomes.bad > 0) {
            node_.loads.outcome(news.upstream, news.outcomes, now, false);
        }
        if (news.unreachable) {
            node_.loads.unreachable(news.upstream, now);
        }
        if (const auto target = node_.upstreams.find(news.upstream); target && news.cold_left) {
            upstream_directory::set_cold(*target, *news.cold_left, now);
        }
    }
}

} // namespace berylcrank
