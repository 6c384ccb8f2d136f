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
    timespec it{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_nsec) * 1e-9;
}

peer_info info_of(std::size_t node, std::uint64_t run) {
    const auto host = "10." + std::to_string(node / 250) + ".12." + std::to_string(node % 250);
    return {.vm = "bog-norte-entry-" + std::to_string(node),
            .run = incarnation{run},
            .failure_domain = "bog-norte-" + std::to_string(node % failure_domains),
            .http_address = host + ":8080",
            .rpc_address = host + ":8081"};
}

} // namespace

gossip_simulation::gossip_simulation(std::size_t nodes, double loss, std::uint64_t seed)
    : random_(seed), loss_(loss) {
    for (std::size_t i = 0; i < nodes; ++i) {
        add();
        const auto& it = members_.back().info;
        list_.push_back({it.vm, it.failure_domain, "bog", it.http_address, it.rpc_address, false});
    }
    for (auto& it : members_) {
        it.view->apply_vm_list(list_, now_);
    }
}

void gossip_simulation::add() {
    const auto info = info_of(members_.size(), random_.next() | 1U);
    index_[info.rpc_address] = members_.size();
    members_.push_back({info, std::make_unique<peer_view>(peer_view::options{.self = info})});
}

void gossip_simulation::join() {
    add();
    members_.back().view->apply_vm_list(list_, now_);
}

void gossip_simulation::kill(std::size_t node, bool refuses) {
    members_.at(node).is_up = false;
    members_.at(node).refuses = refuses;
}

void gossip_simulation::round() {
    now_ = now_ + interval;
    for (auto& it : members_) {
        if (it.is_up) {
            for (const auto& target : it.view->choose_targets(random_, now_)) {
                exchange(it, target);
            }
        }
    }
}

void gossip_simulation::exchange(member& from, const gossip_target& target) {
    auto* found = &members_[index_.at(target.rpc_address)];
    const auto sent = carry(from.view->make_message(random_, now_));
    if (!found->is_up && found->refuses) {
        from.view->on_refused(target, now_);
        return;
    }
    if (!found->is_up || random_.unit() < loss_) {
        from.view->on_call_timeout(target, now_);
        return;
    }
    found->view->on_message(sent, now_);
    const auto reply = carry(found->view->make_message(random_, now_));
    from.view->on_response(reply, target.rpc_address, now_, now_);
}

gossip_message gossip_simulation::carry(const gossip_message& it) {
    capnp::MallocMessageBuilder message;
    encode(it, message.initRoot<schema::Gossip>());
    const auto words = capnp::messageToFlatArray(message);
    ++messages_;
    bytes_ += words.size() * sizeof(capnp::word);
    capnp::FlatArrayMessageReader reader(words.asPtr());
    return decode(reader.getRoot<schema::Gossip>());
}

gossip_simulation::cost gossip_simulation::measure(int rounds) {
    bytes_ = 0;
    messages_ = 0;
    const auto before = cpu_s();
    for (int i = 0; i < rounds; ++i) {
        round();
    }
    const auto cpu = cpu_s() - before;
    const auto nodes = static_cast<double>(members_.size());
    const auto seconds = interval.value() / 1000.0 * rounds;
    cost out{.message_bytes = static_cast<double>(bytes_) / static_cast<double>(messages_),
             .messages_per_s = static_cast<double>(messages_) / nodes / seconds,
             .cpu_percent = 100.0 * cpu / nodes / seconds};
    double silent = 0;
    for (const auto& it : members_) {
        const auto all = it.view->members(now_);
        silent += static_cast<double>(std::ranges::count(all, peer_state::silent, &peer_member::state));
    }
    out.silent_share = silent / nodes / nodes;
    return out;
}

double gossip_simulation::share_with(std::size_t node, std::initializer_list<peer_state> states) const {
    double known = 0;
    double live = 0;
    for (const auto& it : members_) {
        if (it.is_up && &it != &members_[node]) {
            ++live;
            const auto state = it.view->state(members_[node].info.run, now_);
            known += state && std::ranges::find(states, *state) != states.end() ? 1 : 0;
        }
    }
    return known / live;
}

} // namespace berylcrank::bench
