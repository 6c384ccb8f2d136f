#include "modules/berylcrank_balance/peers/registration_policy.h"
#include "modules/berylcrank_gateway/node/gateway_node.h"

#include <algorithm>
#include <utility>

namespace berylcrank {

namespace {

constexpr std::size_t max_distant_hellos = 5; // nodes of other failure domains that a new node contacts
constexpr millis first_store_call_retry{300};
constexpr millis max_store_call_retry{2000};
constexpr millis registration_check_interval{500}; // of a node that has heard others
constexpr millis node_list_timeout{900};           // of a request for the list of another node
// A node asks for the list of another one a short time after it has heard it, when all nodes start together
// and the seeds are still being told about them.
constexpr millis first_list_delay{150};
constexpr millis first_list_spread{300};
constexpr millis list_interval{5000}; // between later requests, which find nodes that missed a hello
// Maximum delay of a request to a node whose roster contains nodes that are not known here. When all nodes
// start together, lists are incomplete at first, and list_interval would pass two or three times until each
// node knows all others.
constexpr millis unknown_node_delay{1000};

} // namespace

bool gateway_node::registration_due(instant now) const {
    const auto& seeds = node_.options.seed_ips;
    const auto& self = node_.peers.self();
    return should_register(
        {.since_start = now - started_,
         .store_writes_per_second = node_.options.store_writes_per_second,
         .has_seeds = std::any_of(seeds.begin(), seeds.end(), [&](const auto& it) { return it != self.ip; }),
         .is_seed = std::find(seeds.begin(), seeds.end(), self.ip) != seeds.end(),
         .heard_peer = heard_peer_,
         .live_registered = node_.peers.registered_count(now),
         .rank = node_.peers.unregistered_rank(now)});
}

void gateway_node::discover(instant now) {
    if (!store_call_pending_ && now >= next_store_call_) {
        const bool list_is_due = !has_store_list_ || listed_epoch_ < follower_.epoch();
        if (!node_.peers.self().registered && (announcement_lost_ || registration_due(now))) {
            announce();
        } else if (node_.peers.self().registered && list_is_due) {
            list_nodes();
        } else if (heard_peer_) {
            next_store_call_ = now + registration_check_interval;
        }
    }
    if (has_store_list_ && now >= next_store_list_) {
        next_store_list_ = now + list_interval;
        has_store_list_ = node_.peers.has_live(now); // alone: the other nodes may have new addresses
    }
    if (heard_peer_ && now >= next_node_pull_) {
        next_node_pull_ = now + list_interval * (1 + node_.random.unit());
        pull_nodes(now);
    }
}

void gateway_node::on_unknown_node(const peer& sender, instant now) {
    if (list_source_ == 0) {
        list_source_ = sender.number;
        next_node_pull_ = std::min(next_node_pull_, now + unknown_node_delay * node_.random.unit());
    }
}

void gateway_node::on_peer_heard(instant now) {
    if (heard_peer_) {
        return;
    }
    heard_peer_ = true;
    next_node_pull_ = now + first_list_delay + first_list_spread * node_.random.unit();
}

void gateway_node::finish_store_call(store_outcome outcome) {
    store_call_pending_ = false;
    if (outcome != store_outcome::ok) {
        store_call_retry_ = std::clamp(store_call_retry_ * 2, first_store_call_retry, max_store_call_retry);
        next_store_call_ = time_.now() + store_call_retry_;
    }
}

// A store that was restored from a backup may have lost this node's announcement. `epoch` is the highest one
// that was known when the list was requested.
void gateway_node::check_announcement(const std::vector<node_info>& nodes, std::uint64_t epoch) {
    const auto& self = node_.peers.self();
    const bool is_listed = std::any_of(nodes.begin(), nodes.end(), [&](const auto& it) {
        return it.name == self.name && it.ip == self.ip && it.gossip_port == self.gossip_port;
    });
    if (!is_listed && epoch > listed_epoch_) {
        announcement_lost_ = true;
        node_.peers.set_registered(false);
        node_.metrics.count_event("announcement-lost");
        log_.line("announcement-lost").field("epoch", epoch).send();
        return;
    }
    listed_epoch_ = epoch;
}

void gateway_node::announce() {
    store_call_pending_ = true;
    store_.announce(node_.peers.self(), [this, epoch = follower_.epoch()](store_outcome outcome) {
        node_.peers.set_registered(outcome == store_outcome::ok);
        if (outcome == store_outcome::ok) {
            announcement_lost_ = false;
            listed_epoch_ = epoch;
        }
        finish_store_call(outcome);
    });
}

void gateway_node::list_nodes() {
    store_call_pending_ = true;
    store_.list_nodes([this, epoch = follower_.epoch()](store_outcome outcome,
                                                        const std::vector<node_info>& nodes,
                                                        std::size_t unreadable) {
        if (unreadable > 0) {
            node_.metrics.count_event("unreadable-node");
            log_.line("nodes-unreadable").field("count", static_cast<std::uint64_t>(unreadable)).send();
        }
        has_store_list_ = outcome == store_outcome::ok;
        next_store_list_ = time_.now() + list_interval;
        has_node_list_ = has_node_list_ || has_store_list_;
        finish_store_call(outcome);
        if (has_store_list_) {
            check_announcement(nodes, epoch);
        }
        learn_nodes(nodes);
    });
}

void gateway_node::pull_nodes(instant now) {
    const auto live = node_.peers.live(now);
    if (live.empty()) {
        return;
    }
    const auto* source = node_.peers.find(std::exchange(list_source_, 0));
    const auto& from = (source == nullptr ? live[node_.random.below(live.size())] : source)->info;
    const call_request request{.address = from.ip + ':' + std::to_string(from.gossip_port),
                               .target = std::string(nodes_target)};
    peer_client_.call(request, node_list_timeout, [this](const call_result& result) {
        const auto nodes =
            result.has_response && result.head.status == 200 ? decode_nodes(result.body) : std::nullopt;
        if (!nodes) {
            node_.metrics.count_event("node-list-failed");
            if (!has_node_list_) {
                next_node_pull_ = time_.now();
            }
            return;
        }
        has_node_list_ = true;
        learn_nodes(*nodes);
    });
}

void gateway_node::learn_nodes(const std::vector<node_info>& nodes) {
    std::vector<const node_info*> distant;
    for (const auto& it : nodes) {
        if (!node_.peers.learn(it, time_.now())) {
            continue;
        }
        if (it.failure_domain == node_.peers.self().failure_domain ||
            nodes.size() <= peer_table::single_cell_limit) {
            send_hello_to(it, true);
        } else {
            distant.push_back(&it);
        }
    }
    for (std::size_t i = 0; i < max_distant_hellos && !distant.empty(); ++i) {
        // The other distant nodes receive this node's address in lists and rosters.
        send_hello_to(*distant[node_.random.below(distant.size())], true);
    }
}

} // namespace berylcrank
