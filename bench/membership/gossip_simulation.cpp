#include "bench/membership/gossip_simulation.h"

#include "modules/berylcrank_rpc/peer/peer_codec.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <ctime>

namespace berylcrank::bench {

namespace {

constexpr std::size_t failure_domains = 27;

double cpu_s() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

peer_info make_peer_info(std::size_t number, std::uint64_t incarnation_value) {
    const auto host = "10." + std::to_string(number / 250) + ".12." + std::to_string(number % 250);
    return {.vm = "bog-norte-entry-" + std::to_string(number),
            .run = incarnation{incarnation_value},
            .failure_domain = "bog-norte-" + std::to_string(number % failure_domains),
            .http_address = host + ":8080",
            .rpc_address = host + ":8081"};
}

} // namespace

gossip_simulation::gossip_simulation(std::size_t nodes, double loss, std::uint64_t seed)
    : random_(seed), loss_(loss) {
    for (std::size_t i = 0; i < nodes; ++i) {
        add_node();
        const auto& node = nodes_.back().info;
        vm_list_.push_back({node.vm, node.failure_domain, "bog", node.http_address, node.rpc_address, false});
    }
    for (auto& node : nodes_) {
        node.view->apply_vm_list(vm_list_, now_);
    }
}

void gossip_simulation::add_node() {
    const auto info = make_peer_info(nodes_.size(), random_.next() | 1U);
    index_by_rpc_address_[info.rpc_address] = nodes_.size();
    nodes_.push_back({info, std::make_unique<peer_view>(peer_view::options{.self = info})});
}

void gossip_simulation::start_unlisted_node() {
    add_node();
    nodes_.back().view->apply_vm_list(vm_list_, now_);
}

void gossip_simulation::stop_node(std::size_t node, bool refuses_connections) {
    nodes_.at(node).is_up = false;
    nodes_.at(node).refuses_connections = refuses_connections;
}

void gossip_simulation::run_round() {
    now_ = now_ + interval;
    for (auto& node : nodes_) {
        if (node.is_up) {
            for (const auto& target : node.view->choose_targets(random_, now_)) {
                exchange_messages(node, target);
            }
        }
    }
}

void gossip_simulation::exchange_messages(simulated_node& sender, const gossip_target& target) {
    auto* receiver = &nodes_[index_by_rpc_address_.at(target.rpc_address)];
    const auto request = encode_and_decode(sender.view->make_message(random_, now_));
    if (!receiver->is_up && receiver->refuses_connections) {
        sender.view->on_refused(target, now_);
        return;
    }
    if (!receiver->is_up || random_.unit() < loss_) {
        sender.view->on_call_timeout(target, now_);
        return;
    }
    receiver->view->on_message(request, now_);
    const auto response = encode_and_decode(receiver->view->make_message(random_, now_));
    sender.view->on_response(response, target.rpc_address, now_, now_);
}

gossip_message gossip_simulation::encode_and_decode(const gossip_message& message) {
    capnp::MallocMessageBuilder builder;
    encode(message, builder.initRoot<schema::Gossip>());
    const auto words = capnp::messageToFlatArray(builder);
    ++messages_;
    bytes_ += words.size() * sizeof(capnp::word);
    capnp::FlatArrayMessageReader reader(words.asPtr());
    return decode(reader.getRoot<schema::Gossip>());
}

gossip_simulation::cost gossip_simulation::measure(int rounds) {
    bytes_ = 0;
    messages_ = 0;
    const auto cpu_before = cpu_s();
    for (int i = 0; i < rounds; ++i) {
        run_round();
    }
    const auto cpu_used = cpu_s() - cpu_before;
    const auto nodes = static_cast<double>(nodes_.size());
    const auto seconds = interval.value() / 1000.0 * rounds;
    cost out{.message_bytes = static_cast<double>(bytes_) / static_cast<double>(messages_),
             .messages_per_s = static_cast<double>(messages_) / nodes / seconds,
             .cpu_percent = 100.0 * cpu_used / nodes / seconds};
    double silent = 0;
    for (const auto& node : nodes_) {
        const auto members = node.view->members(now_);
        silent += static_cast<double>(std::ranges::count(members, peer_state::silent, &peer_member::state));
    }
    out.silent_fraction = silent / nodes / nodes;
    return out;
}

double gossip_simulation::fraction_in_state(std::size_t node,
                                            std::initializer_list<peer_state> states) const {
    double matching = 0;
    double live = 0;
    for (const auto& other : nodes_) {
        if (other.is_up && &other != &nodes_[node]) {
            ++live;
            const auto state = other.view->state(nodes_[node].info.run, now_);
            matching += state && std::ranges::find(states, *state) != states.end() ? 1 : 0;
        }
    }
    return matching / live;
}

} // namespace berylcrank::bench
