#include "modules/berylcrank_node/control/node_control.h"

#include <algorithm>
#include <cmath>
#include <glog/logging.h>

namespace berylcrank {

namespace {

// Interval of tasks that need not run at each tick: addresses, groups, warm reports of the permit issuer.
constexpr millis periodic_interval{50};

// Duration of the dispatch lease while the configuration is not proven fresh: a few ticks of a busy
// machine.
constexpr millis short_lease{500};

// Retry interval of a hand-over whose record was superseded or not appended.
constexpr millis hand_over_interval{1000};

// A hand-over takes at most this long, e.g. while the log is down. The node then exits without it, and
// other nodes take over its groups once it has ended.
constexpr millis max_hand_over{10000};

} // namespace

node_control::node_control(const dependencies& it, const options& o)
    : deps_(it), options_(o), random_(o.seed), election_({.self = it.self}), exit_policy_(o.leave) {}

void node_control::start() {
    thread_ = std::thread([this] { run(); });
}

void node_control::stop() {
    if (thread_.joinable()) {
        signal_.stop();
        thread_.join();
    }
}

void node_control::run() {
    do {
        tick(deps_.time.now());
    } while (!signal_.wait(options_.tick));
}

void node_control::tick(instant now) {
    check_freshness(now);
    deps_.services.for_each([&](const std::string&, service_entry& it) { it.router.tick(now); });
    deps_.orders.tick();
    deps_.permits.tick();
    deps_.router.tick();
    if (leave_requested_.load() && !exit_policy_.is_leaving()) {
        start_leaving(now);
    }
    if (!was_ready_ && deps_.is_ready()) {
        was_ready_ = true;
        deps_.peers.become_ready();
        update_addresses(now);
        next_gossip_ = now;
    }
    if (now >= next_gossip_) {
        gossip(now);
    }
    if (now >= next_periodic_) {
        next_periodic_ = now + periodic_interval;
        update_addresses(now);
        propose_groups(now);
        hand_over_groups(now);
        for (const auto& it : deps_.issuer.take_warm_reports()) {
            deps_.gate.on_warm_report(it, now);
        }
    }
    if (exit_policy_.is_leaving()) {
        has_left_ = exit_policy_.may_exit(count_unnotified(now),
                                          deps_.in_flight() + (has_groups_to_hand_over(now) ? 1 : 0), now);
    }
}

void node_control::check_freshness(instant now) {
    freshness_inputs inputs{.now = now, .isolation_limit = options_.isolation_limit};
    deps_.config.add_log_status(inputs);
    inputs.peer_log_end_confirmed = deps_.peers.log_end_confirmed_at(deps_.config.view()->applied());
    inputs.other_members = static_cast<std::uint32_t>(deps_.peers.size());
    inputs.reachable_members = static_cast<std::uint32_t>(std::lround(
        deps_.peers.recent_heartbeat_fraction(options_.isolation_limit, now) * inputs.other_members));
    inputs.was_stopped = decision_.stops_new_work;
    const auto decision = decide_freshness(inputs);
    if (decision.state != decision_.state) {
        LOG(INFO) << "configuration is " << to_string(decision.state)
                  << (decision.stops_new_work ? "; new work is stopped" : "");
    }
    decision_ = decision;
    freshness_ = decision.state;
    const auto proof =
        std::max(inputs.log_end_read.value_or(instant{}), inputs.peer_log_end_confirmed.value_or(instant{}));
    deps_.issuer.confirm_holder(proof);
    // During a log outage holders keep their groups, unless a peer has applied a record that this node has
    // not read.
    if (const auto it =
            deps_.peers.outage_confirmed_at(deps_.config.view()->applied(), options_.isolation_limit, now)) {
        deps_.issuer.confirm_holder(*it);
    }
    if (decision.stops_new_work || !deps_.config.is_ready()) {
        deps_.lease.revoke();
    } else if (decision.state == freshness::fresh) {
        deps_.lease.renew_until(proof + options_.isolation_limit);
    } else {
        deps_.lease.renew_until(now + short_lease);
    }
}

void node_control::gossip(instant now) {
    next_gossip_ = now + options_.gossip;
    for (const auto& it : deps_.gossip_messages.choose_targets()) {
        send_gossip(it);
    }
}

void node_control::send_gossip(const gossip_target& it) {
    const auto sent_at = deps_.time.now();
    const bool announces_leaving = exit_policy_.is_leaving();
    deps_.client.gossip(
        it.rpc_address, deps_.gossip_messages.make_message(), options_.gossip_call,
        [this, it, sent_at, announces_leaving](peer_failure failure, const gossip_message& response) {
            const auto now = deps_.time.now();
            if (failure == peer_failure::refused) {
                deps_.peers.on_refused(it, now);
            } else if (failure != peer_failure::none) {
                deps_.peers.on_call_timeout(it, sent_at);
            } else if (response.sender.run.is_set()) {
                deps_.peers.on_response(response, it.rpc_address, sent_at, now);
                deps_.gossip_messages.process(response);
                if (announces_leaving) {
                    const lock_guard hold(notified_mutex_);
                    notified_vms_.insert(response.sender.vm);
                }
            }
        });
}

void node_control::propose_groups(instant now) {
    if (exit_policy_.is_leaving() || decision_.state != freshness::fresh) {
        return;
    }
    const auto records = election_.propose(
        holders(), live_incarnations(now), [&](incarnation it) { return deps_.peers.has_ended(it, now); },
        random_, now);
    if (!records.empty()) {
        deps_.config.propose(records);
    }
}

void node_control::update_addresses(instant now) {
    const auto view = deps_.config.view();
    deps_.addresses.update(deps_.peers.members(now), [&](std::string_view failure_domain) {
        const auto* it = view->find_failure_domain(failure_domain);
        return it == nullptr || it->in_use;
    });
}

void node_control::start_leaving(instant now) {
    LOG(INFO) << "leaving: removed from address responses; finishing requests in flight";
    exit_policy_.start(now);
    hand_over_deadline_ = now + max_hand_over;
    deps_.peers.leave();
    update_addresses(now);
    next_gossip_ = now;
    deps_.issuer.retire();
}

void node_control::hand_over_groups(instant now) {
    if (!exit_policy_.is_leaving() || now < next_hand_over_ || deps_.issuer.total_outstanding(now) > 0) {
        return;
    }
    next_hand_over_ = now + hand_over_interval;
    auto others = live_incarnations(now);
    std::erase(others, deps_.self);
    if (const auto records = election_.hand_over(holders(), others); !records.empty()) {
        deps_.config.propose(records);
    }
}

bool node_control::has_groups_to_hand_over(instant now) const {
    const auto others = live_incarnations(now);
    const bool is_alone = others.empty() || others == std::vector{deps_.self};
    const auto list = holders();
    return !is_alone && now < hand_over_deadline_ && std::ranges::find(list, deps_.self) != list.end();
}

node_control::holder_list node_control::holders() const {
    holder_list out;
    const auto view = deps_.config.view();
    for (std::uint32_t group = 0; group < group_count; ++group) {
        out[group] = view->holder_of(group).holder;
    }
    return out;
}

std::vector<incarnation> node_control::live_incarnations(instant now) const {
    std::vector<incarnation> incarnations;
    for (const auto& it : deps_.peers.members(now)) {
        if (it.state == peer_state::alive && it.info.run.is_set()) {
            incarnations.push_back(it.info.run);
        }
    }
    return incarnations;
}

std::size_t node_control::count_unnotified(instant now) {
    const auto members = deps_.peers.members(now);
    const lock_guard hold(notified_mutex_);
    return static_cast<std::size_t>(std::ranges::count_if(members, [&](const peer_member& it) {
        return !it.is_self && it.state == peer_state::alive && !notified_vms_.contains(it.info.vm);
    }));
}

} // namespace berylcrank
