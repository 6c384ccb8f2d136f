#include "modules/berylcrank_balance/load/load_tracker.h"

#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

constexpr double mean_weight = 0.005;   // weight of one report in the mean slowness
constexpr double prior_successes = 1.5; // assumed successes before any outcome is known

double decay(millis age, millis half_life) {
    return std::exp2(-std::max(0.0, age.value()) / half_life.value());
}

} // namespace

const load_tracker::entry* load_tracker::find(std::uint32_t upstream) const {
    const auto it = entries_.find(upstream);
    return it == entries_.end() ? nullptr : &it->second;
}

void load_tracker::report(std::uint32_t upstream, const load_snapshot& it, bool publish) {
    auto& load = at(upstream);
    extend_run(load, it.connected_at, it.at);
    if (load.reported && load.report.at >= it.at) {
        return;
    }
    load.report = it;
    load.reported = true;
    load.untracked =
        has_untracked_nodes_ ? std::max(0, it.running + it.waiting - load.own - std::max(0, load.others)) : 0;
    load.report_unsent = load.report_unsent || publish;
    mean_slowness_ += mean_weight * (it.slowness - mean_slowness_);
}

void load_tracker::ended(std::uint32_t upstream) {
    auto& it = at(upstream);
    it.own = std::max(0, it.own - 1);
}

void load_tracker::outcome(std::uint32_t upstream, outcome_count it, instant now, bool publish) {
    auto& load = at(upstream);
    const double remaining = decay(now - load.outcomes_at, outcome_half_life);
    load.outcomes.good = load.outcomes.good * remaining + it.good;
    load.outcomes.bad = load.outcomes.bad * remaining + it.bad;
    load.outcomes_at = now;
    if (publish) {
        load.unsent.good += it.good;
        load.unsent.bad += it.bad;
    }
}

void load_tracker::unreachable(std::uint32_t upstream, instant now) {
    auto& it = at(upstream);
    if (it.down_until > now) {
        return;
    }
    it.backoff = std::clamp(it.backoff * 2, min_backoff, max_backoff);
    it.down_until = now + it.backoff;
}

// A connection does not survive a restart. So a response shows that the upstream has run since the start of
// the connection, and connections that overlap in time show it for the whole time.
void load_tracker::extend_run(entry& it, instant connected_at, instant when) {
    if (connected_at + order_margin <= it.responded_at && it.alive_since + order_margin <= when) {
        it.alive_since = std::min(it.alive_since, connected_at);
        it.responded_at = std::max(it.responded_at, when);
    } else if (when > it.responded_at) {
        it.alive_since = std::min(connected_at, when);
        it.responded_at = when;
    }
}

bool load_tracker::ran_through(std::uint32_t upstream, instant first, instant last) const {
    const auto* it = find(upstream);
    return it != nullptr && it->alive_since <= first && last + order_margin < it->responded_at;
}

void load_tracker::reachable(std::uint32_t upstream, instant connected_at, instant now) {
    auto& it = at(upstream);
    extend_run(it, connected_at, now);
    it.backoff = millis{};
    it.down_until = instant{};
}

void load_tracker::set_peer_in_flight(std::uint64_t peer, std::span<const in_flight_count> counts) {
    auto& stored = peers_[peer];
    for (const auto& it : stored) {
        at(it.upstream).others -= it.count;
    }
    stored.assign(counts.begin(), counts.end());
    for (const auto& it : stored) {
        at(it.upstream).others += it.count;
    }
    if (stored.empty()) {
        peers_.erase(peer);
    }
}

int load_tracker::own_in_flight() const {
    int n = 0;
    for (const auto& [number, it] : entries_) {
        n += it.own;
    }
    return n;
}

int load_tracker::in_flight(const entry& it, instant now) const {
    const int counted = it.own + std::max(0, it.others);
    if (!it.reported) {
        return counted;
    }
    const auto age = now - it.report.at;
    const int reported = age > report_lifetime ? 0 : it.report.running + it.report.waiting;
    const double untracked = it.untracked * std::exp(-age.value() / untracked_time_constant.value());
    return std::max(reported, counted + static_cast<int>(std::lround(untracked)));
}

double load_tracker::slowness(const entry& it, double mean, instant now) {
    if (!it.reported) {
        return mean;
    }
    const double report_weight = std::exp(-(now - it.report.at).value() / slowness_time_constant.value());
    return mean + (it.report.slowness - mean) * report_weight;
}

double load_tracker::failure_share(const entry& it, instant now) {
    const double remaining = decay(now - it.outcomes_at, outcome_half_life);
    const double bad = it.outcomes.bad * remaining;
    return bad / (bad + it.outcomes.good * remaining + prior_successes);
}

} // namespace berylcrank
