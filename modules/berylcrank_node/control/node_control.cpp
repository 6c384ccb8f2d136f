#include "modules/berylcrank_node/control/node_control.h"

#include <algorithm>
#include <cmath>
#include <glog/logging.h>

namespace berylcrank {

namespace {

// Interval of work that need not follow each tick: addresses, groups, statements of the permit holder.
constexpr millis slow_interval{50};

// Without proof of its own a permission to send lasts this long, a few ticks of a busy machine.
constexpr millis short_permission{500};

// A hand-over whose record lost its race or its append is tried again after this.
constexpr millis hand_over_interval{1000};

// With the log down a leaving node exits without a hand-over; its groups are taken over once it has ended.
constexpr millis longest_hand_over{10000};

} // namespace

node_control::node_control(const parts& it, const options& o)
    : parts_(it), options_(o), random_(o.seed), assignment_({.self = it.self}), exit_policy_(o.leave) {}

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
        tick(parts_.time.now());
    } while (!signal_.wait(options_.tick));
}

void node_control::tick(instant now) {
    check_freshness(now);
    parts_.services.for_each([&](const std::string&, service_entry& it) { it.router.tick(now); });
    parts_.orders.tick();
    parts_.permits.tick();
    parts_.router.tick();
    if (leave_asked_.load() && !exit_policy_.is_leaving()) {
        start_leaving(now);
    }
    if (!was_ready_ && parts_.is_ready()) {
        was_ready_ = true;
        parts_.peers.become_ready();
        update_addresses(now);
        next_gossip_ = now;
    }
    if (now >= next_gossip_) {
        gossip(now);
    }
    if (now >= next_slow_) {
        next_slow_ = now + slow_interval;
        update_addresses(now);
        propose_groups(now);
        hand_over_groups(now);
        for (const auto& it : parts_.issuer.take_warm_reports()) {
            parts_.gate.on_warm_report(it, now);
        }
    }
    if (exit_policy_.is_leaving()) {
        has_left_ =
            exit_policy_.may_exit(count_untold(now), parts_.in_flight() + (is_holding(now) ? 1 : 0), now);
    }
}

void node_control::check_freshness(instant now) {
    freshness_inputs inputs{.now = now, .isolation_limit = options_.isolation_limit};
    parts_.config.add_evidence(inputs);
    inputs.peer_log_end_confirmed = parts_.peers.log_end_confirmed_at(parts_.config.view()->applied());
    inputs.other_members = static_cast<std::uint32_t>(parts_.peers.size());
    inputs.reachable_members = static_cast<std::uint32_t>(std::lround(
        parts_.peers.recent_heartbeat_fraction(options_.isolation_limit, now) * inputs.other_members));
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
    parts_.issuer.confirm_holder(proof);
    // While the log is down holders stay, unless a peer knows of a record that this node has not read.
    if (const auto it = parts_.peers.outage_confirmed_at(parts_.config.view()->applied(),
                                                         options_.isolation_limit, now)) {
        parts_.issuer.confirm_holder(*it);
    }
    if (decision.stops_new_work || !parts_.config.is_ready()) {
        parts_.work.close();
    } else if (decision.state == freshness::fresh) {
        parts_.work.open_until(proof + options_.isolation_limit);
    } else {
        parts_.work.open_until(now + short_permission);
    }
}

void node_control::gossip(instant now) {
    next_gossip_ = now + options_.gossip;
    for (const auto& it : parts_.news.choose()) {
        send_gossip(it);
    }
}

void node_control::send_gossip(const gossip_target& it) {
    const auto asked = parts_.time.now();
    const bool tells_leaving = exit_policy_.is_leaving();
    parts_.client.gossip(it.rpc_address, parts_.news.make(), options_.gossip_call,
                         [this, it, asked, tells_leaving](peer_failure failure, const gossip_message& reply) {
                             const auto now = parts_.time.now();
                             if (failure == peer_failure::refused) {
                                 parts_.peers.on_refused(it, now);
                             } else if (failure != peer_failure::none) {
                                 parts_.peers.on_call_timeout(it, asked);
                             } else if (reply.sender.run.is_set()) {
                                 parts_.peers.on_response(reply, it.rpc_address, asked, now);
                                 parts_.news.take(reply);
                                 if (tells_leaving) {
                                     const lock_guard hold(told_mutex_);
                                     told_.insert(reply.sender.vm);
                                 }
                             }
                         });
}

void node_control::propose_groups(instant now) {
    if (exit_policy_.is_leaving() || decision_.state != freshness::fresh) {
        return;
    }
    const auto records = assignment_.propose(
        holders(), alive_runs(now), [&](incarnation it) { return parts_.peers.has_ended(it, now); }, random_,
        now);
    if (!records.empty()) {
        parts_.config.propose(records);
    }
}

void node_control::update_addresses(instant now) {
    const auto view = parts_.config.view();
    parts_.addresses.update(parts_.peers.members(now), [&](std::string_view failure_domain) {
        const auto* it = view->find_failure_domain(failure_domain);
        return it == nullptr || it->in_use;
    });
}

void node_control::start_leaving(instant now) {
    LOG(INFO) << "leaving: no longer in address answers; requests in flight finish";
    exit_policy_.start(now);
    give_up_hand_over_ = now + longest_hand_over;
    parts_.peers.leave();
    update_addresses(now);
    next_gossip_ = now;
    parts_.issuer.retire();
}

void node_control::hand_over_groups(instant now) {
    if (!exit_policy_.is_leaving() || now < next_hand_over_ || parts_.issuer.total_outstanding(now) > 0) {
        return;
    }
    next_hand_over_ = now + hand_over_interval;
    auto others = alive_runs(now);
    std::erase(others, parts_.self);
    if (const auto records = assignment_.hand_over(holders(), others); !records.empty()) {
        parts_.config.propose(records);
    }
}

bool node_control::is_holding(instant now) const {
    const auto others = alive_runs(now);
    const bool is_alone = others.empty() || others == std::vector{parts_.self};
    const auto list = holders();
    return !is_alone && now < give_up_hand_over_ && std::ranges::find(list, parts_.self) != list.end();
}

node_control::holder_list node_control::holders() const {
    holder_list out;
    const auto view = parts_.config.view();
    for (std::uint32_t group = 0; group < group_count; ++group) {
        out[group] = view->holder_of(group).holder;
    }
    return out;
}

std::vector<incarnation> node_control::alive_runs(instant now) const {
    std::vector<incarnation> runs;
    for (const auto& it : parts_.peers.members(now)) {
        if (it.state == peer_state::alive && it.info.run.is_set()) {
            runs.push_back(it.info.run);
        }
    }
    return runs;
}

std::size_t node_control::count_untold(instant now) {
    const auto members = parts_.peers.members(now);
    const lock_guard hold(told_mutex_);
    return static_cast<std::size_t>(std::ranges::count_if(members, [&](const peer_member& it) {
        return !it.is_self && it.state == peer_state::alive && !told_.contains(it.info.vm);
    }));
}

} // namespace berylcrank
