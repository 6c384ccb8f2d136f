#include "modules/berylcrank_balance/load/load_tracker.h"

#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

constexpr double usual_weight = 0.005; // weight of one report in the mean slowness
constexpr double outcome_prior = 1.5;  // good results assumed before any is known

double decay(millis age, millis half_life) {
    return std::exp2(-std::max(0.0, age.value()) / half_life.value());
}

} // namespace

const load_tracker::entry* load_tracker::find(std::uint32_t upstream) const {
    const auto it = entries_.find(upstream);
    return it == entries_.end() ? nullptr : &it->second;
}

void load_tracker::report(std::uint32_t upstream, const load_snapshot& it, bool own_news) {
    auto& held = at(upstream);
    if (held.reported && held.report.at >= it.at) {
        return;
    }
    held.report = it;
    held.reported = true;
    held.foreign =
        has_untracked_nodes_ ? std::max(0, it.running + it.waiting - held.own - std::max(0, held.others)) : 0;
    held.report_unsent = held.report_unsent || own_news;
    mean_slowness_ += usual_weight * (it.slowness - mean_slowness_);
}

void load_tracker::ended(std::uint32_t upstream) {
    auto& it = at(upstream);
    it.own = std::max(0, it.own - 1);
}

void load_tracker::outcome(std::uint32_t upstream, outcome_count it, instant now, bool own_news) {
    auto& held = at(upstream);
    const double left = decay(now - held.outcomes_at, outcome_half_life);
    held.outcomes.good = held.outcomes.good * left + it.good;
    held.outcomes.bad = held.outcomes.bad * left + it.bad;
    held.outcomes_at = now;
    if (own_news) {
        held.unsent.good += it.good;
        held.unsent.bad += it.bad;
    }
}

void load_tracker::unreachable(std::uint32_t upstream, instant now) {
    auto& it = at(upstream);
    if (it.down_until > now) {
        return;
    }
    it.pause = std::clamp(it.pause * 2, first_pause, longest_pause);
    it.down_until = now + it.pause;
}

void load_tracker::reachable(std::uint32_t upstream) {
    auto& it = at(upstream);
    it.pause = millis{};
    it.down_until = instant{};
}

void load_tracker::set_peer_in_flight(std::uint64_t peer, std::span<const in_flight_count> counts) {
    auto& held = peers_[peer];
    for (const auto& it : held) {
        at(it.upstream).others -= it.count;
    }
    held.assign(counts.begin(), counts.end());
    for (const auto& it : held) {
        at(it.upstream).others += it.count;
    }
    if (held.empty()) {
        peers_.erase(peer);
    }
}

int load_tracker::in_flight(const entry& it, instant now) const {
    const int counted = it.own + std::max(0, it.others);
    if (!it.reported) {
        return counted;
    }
    const auto age = now - it.report.at;
    const int told = age > report_lifetime ? 0 : it.report.running + it.report.waiting;
    const double foreign = it.foreign * std::exp(-age.value() / foreign_memory.value());
    return std::max(told, counted + static_cast<int>(std::lround(foreign)));
}

double load_tracker::slowness(const entry& it, double usual, instant now) {
    if (!it.reported) {
        return usual;
    }
    const double weight = std::exp(-(now - it.report.at).value() / slowness_memory.value());
    return usual + (it.report.slowness - usual) * weight;
}

double load_tracker::failure_share(const entry& it, instant now) {
    const double left = decay(now - it.outcomes_at, outcome_half_life);
    const double bad = it.outcomes.bad * left;
    return bad / (bad + it.outcomes.good * left + outcome_prior);
}

} // namespace berylcrank
