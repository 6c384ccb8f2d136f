#include "modules/berylcrank_routing/cold/cold_gate.h"

#include <algorithm>

namespace berylcrank {

bool cold_gate::begin(cold_attempt& attempt, bool needs_new) {
    auto& shard = shard_of(attempt.upstream_);
    const lock_guard lock(shard.lock);
    auto& state = shard.upstreams[attempt.upstream_];
    if (needs_new || !state.has_idle_verified()) {
        return false;
    }
    state.reserve();
    attempt.has_reservation_ = true;
    return true;
}

bool cold_gate::may_send(cold_attempt& attempt, std::uint16_t local_port, bool is_new, instant now) {
    auto& shard = shard_of(attempt.upstream_);
    const lock_guard lock(shard.lock);
    auto& state = shard.upstreams[attempt.upstream_];
    const auto connection = state.use_port(local_port, is_new, attempt.has_reservation_);
    if (attempt.has_reservation_) {
        state.release_reservation();
        attempt.has_reservation_ = false;
    }
    if (attempt.is_sent_) {
        return false; // An attempt is sent once; the HTTP library must not resend it.
    }
    if (state.is_verified(connection)) {
        ++shard.count.verified;
    } else if (!is_permit_valid(attempt, now, shard.count)) {
        return false;
    } else {
        ++shard.count.permitted;
        attempt.is_permitted_ = true;
    }
    state.set_busy(connection, true);
    attempt.connection_ = connection;
    attempt.is_sent_ = true;
    return true;
}

std::optional<permit_release> cold_gate::on_head(cold_attempt& attempt, std::string_view upstream_incarnation,
                                                 bool reported_cold) {
    auto& shard = shard_of(attempt.upstream_);
    const lock_guard lock(shard.lock);
    auto& state = shard.upstreams[attempt.upstream_];
    const bool was_warm = state.is_warm(upstream_incarnation);
    state.set_incarnation(attempt.connection_, upstream_incarnation, reported_cold);
    attempt.upstream_incarnation_ = upstream_incarnation;
    attempt.is_cold_reported_ = reported_cold && (was_warm || attempt.is_permitted_);
    if (!attempt.is_permitted_ || !state.is_verified(attempt.connection_)) {
        return std::nullopt;
    }
    attempt.is_permitted_ = false; // The connection is verified now.
    permit_release release{.permit = attempt.permit_->id,
                           .upstream = attempt.upstream_,
                           .upstream_incarnation = attempt.upstream_incarnation_};
    attempt.permit_.reset();
    return release;
}

std::optional<permit_release> cold_gate::finish(cold_attempt& attempt, cold_outcome outcome) {
    {
        auto& shard = shard_of(attempt.upstream_);
        const lock_guard lock(shard.lock);
        auto& state = shard.upstreams[attempt.upstream_];
        if (attempt.has_reservation_) {
            state.release_reservation();
        }
        if (attempt.is_sent_) {
            state.set_busy(attempt.connection_, false);
            if (outcome == cold_outcome::connection_lost || outcome == cold_outcome::abandoned) {
                state.close(attempt.connection_);
            }
        }
    }
    permit_release release{.upstream = attempt.upstream_,
                           .upstream_incarnation = attempt.upstream_incarnation_,
                           .reported_cold = attempt.is_cold_reported_};
    const bool may_still_run = attempt.is_permitted_ && outcome == cold_outcome::abandoned;
    if (attempt.permit_ && !may_still_run) {
        release.permit = attempt.permit_->id;
        if (attempt.is_permitted_) {
            release.outcome =
                outcome == cold_outcome::success ? permit_outcome::good : permit_outcome::failed;
        }
    }
    attempt.permit_.reset();
    attempt.has_reservation_ = false;
    if (release.permit == 0 && !release.reported_cold) {
        return std::nullopt;
    }
    return release;
}

void cold_gate::set_holders(std::span<const incarnation, group_count> holders) {
    for (std::size_t i = 0; i < shard_count; ++i) {
        auto& shard = shards_[i];
        const lock_guard lock(shard.lock);
        for (std::size_t k = 0; k < shard.holders.size(); ++k) {
            shard.holders[k] = holders[k * shard_count + i];
        }
    }
}

bool cold_gate::on_warm_report(const warm_report& report, instant now) {
    const auto group = group_of(report.upstream);
    auto& shard = shards_[group % shard_count];
    const lock_guard lock(shard.lock);
    const auto holder = shard.holders[group / shard_count];
    if (!report.holder.is_set() || holder != report.holder ||
        !shard.upstreams[report.upstream].apply(report, now)) {
        ++shard.count.reports_ignored;
        return false;
    }
    ++shard.count.reports_applied;
    return true;
}

std::vector<warm_report> cold_gate::warm_reports(random_source& random, std::size_t max_recent,
                                                 std::size_t max_old, millis recent, instant now) const {
    std::vector<warm_report> fresh;
    std::vector<warm_report> stale;
    std::uint64_t seen = 0;
    for (auto& shard : shards_) {
        const lock_guard lock(shard.lock);
        for (const auto& [name, state] : shard.upstreams) {
            const auto report = state.latest_report();
            const auto group = group_of(name);
            if (!report || shard.holders[group / shard_count] != report->holder) {
                continue; // Receivers ignore the report of a previous holder.
            }
            if (now - state.latest_report_at() < recent) {
                fresh.push_back(*report);
            } else if (stale.size() < max_old) {
                ++seen;
                stale.push_back(*report);
            } else if (const auto slot = random.below(++seen); slot < max_old) {
                stale[slot] = *report;
            }
        }
    }
    const auto count = std::min(max_recent, fresh.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(fresh[i], fresh[i + random.below(fresh.size() - i)]);
    }
    fresh.resize(count);
    fresh.insert(fresh.end(), stale.begin(), stale.end());
    return fresh;
}

bool cold_gate::is_warm(std::string_view upstream, std::string_view upstream_incarnation) const {
    auto& shard = shard_of(upstream);
    const lock_guard lock(shard.lock);
    const auto it = shard.upstreams.find(upstream);
    return it != shard.upstreams.end() && it->second.is_warm(upstream_incarnation);
}

std::vector<std::pair<std::string, std::string>> cold_gate::warm_incarnations(std::uint32_t group) const {
    std::vector<std::pair<std::string, std::string>> result;
    auto& shard = shards_[group % shard_count];
    const lock_guard lock(shard.lock);
    for (const auto& [name, state] : shard.upstreams) {
        if (group_of(name) == group) {
            for (auto& upstream_incarnation : state.warm_incarnations()) {
                result.emplace_back(name, std::move(upstream_incarnation));
            }
        }
    }
    return result;
}

std::size_t cold_gate::verified_connections(std::string_view upstream) const {
    auto& shard = shard_of(upstream);
    const lock_guard lock(shard.lock);
    const auto it = shard.upstreams.find(upstream);
    return it == shard.upstreams.end() ? 0 : it->second.verified_connections();
}

void cold_gate::forget(std::string_view upstream) {
    auto& shard = shard_of(upstream);
    const lock_guard lock(shard.lock);
    shard.upstreams.erase(upstream);
}

cold_gate::counters cold_gate::count() const {
    counters sum;
    for (auto& shard : shards_) {
        const lock_guard lock(shard.lock);
        sum.verified += shard.count.verified;
        sum.permitted += shard.count.permitted;
        sum.denied_without_permit += shard.count.denied_without_permit;
        sum.denied_expiring += shard.count.denied_expiring;
        sum.reports_applied += shard.count.reports_applied;
        sum.reports_ignored += shard.count.reports_ignored;
    }
    return sum;
}

bool cold_gate::is_permit_valid(const cold_attempt& attempt, instant now, counters& count) {
    if (!attempt.permit_ || attempt.permit_->upstream != attempt.upstream_) {
        ++count.denied_without_permit;
        return false;
    }
    if (attempt.run_limit_ <= millis{0} || now + attempt.run_limit_ > attempt.permit_->expires) {
        ++count.denied_expiring;
        return false;
    }
    return true;
}

} // namespace berylcrank
