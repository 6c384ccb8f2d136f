#include "modules/berylcrank_routing/cold/cold_gate.h"

#include <algorithm>

namespace berylcrank {

bool cold_gate::begin(cold_attempt& it, bool needs_new) {
    auto& shard = shard_of(it.upstream_);
    const lock_guard lock(shard.lock);
    auto& trust = shard.upstreams[it.upstream_];
    if (needs_new || !trust.has_idle_verified()) {
        return false;
    }
    trust.plan();
    it.is_planned_ = true;
    return true;
}

bool cold_gate::may_send(cold_attempt& it, std::uint16_t local_port, bool is_new, instant now) {
    auto& shard = shard_of(it.upstream_);
    const lock_guard lock(shard.lock);
    auto& trust = shard.upstreams[it.upstream_];
    const auto link = trust.open(local_port, is_new, it.is_planned_);
    if (it.is_planned_) {
        trust.end_plan();
        it.is_planned_ = false;
    }
    if (it.is_sent_) {
        return false; // One attempt is one request; the HTTP library must not send it twice.
    }
    if (trust.is_verified(link)) {
        ++shard.count.verified;
    } else if (!is_permit_good(it, now, shard.count)) {
        return false;
    } else {
        ++shard.count.permitted;
        it.is_permitted_ = true;
    }
    trust.set_busy(link, true);
    it.link_ = link;
    it.is_sent_ = true;
    return true;
}

std::optional<permit_release> cold_gate::on_head(cold_attempt& it, std::string_view upstream_incarnation,
                                                 bool reported_cold) {
    auto& shard = shard_of(it.upstream_);
    const lock_guard lock(shard.lock);
    auto& trust = shard.upstreams[it.upstream_];
    const bool was_warm = trust.is_warm(upstream_incarnation);
    trust.name(it.link_, upstream_incarnation, reported_cold);
    it.named_ = upstream_incarnation;
    it.is_cold_reported_ = reported_cold && (was_warm || it.is_permitted_);
    if (!it.is_permitted_ || !trust.is_verified(it.link_)) {
        return std::nullopt;
    }
    it.is_permitted_ = false; // The connection is verified from here on.
    permit_release out{.permit = it.permit_->id, .upstream = it.upstream_, .upstream_incarnation = it.named_};
    it.permit_.reset();
    return out;
}

std::optional<permit_release> cold_gate::finish(cold_attempt& it, cold_outcome end) {
    {
        auto& shard = shard_of(it.upstream_);
        const lock_guard lock(shard.lock);
        auto& trust = shard.upstreams[it.upstream_];
        if (it.is_planned_) {
            trust.end_plan();
        }
        if (it.is_sent_) {
            trust.set_busy(it.link_, false);
            if (end == cold_outcome::connection_lost || end == cold_outcome::abandoned) {
                trust.close(it.link_);
            }
        }
    }
    permit_release out{
        .upstream = it.upstream_, .upstream_incarnation = it.named_, .reported_cold = it.is_cold_reported_};
    const bool is_at_work = it.is_permitted_ && end == cold_outcome::abandoned;
    if (it.permit_ && !is_at_work) {
        out.permit = it.permit_->id;
        if (it.is_permitted_) {
            out.outcome = end == cold_outcome::success ? permit_outcome::good : permit_outcome::failed;
        }
    }
    it.permit_.reset();
    it.is_planned_ = false;
    if (out.permit == 0 && !out.reported_cold) {
        return std::nullopt;
    }
    return out;
}

void cold_gate::set_holders(std::span<const incarnation, group_count> holders) {
    for (std::size_t i = 0; i < shard_count; ++i) {
        auto& it = shards_[i];
        const lock_guard lock(it.lock);
        for (std::size_t k = 0; k < it.holders.size(); ++k) {
            it.holders[k] = holders[k * shard_count + i];
        }
    }
}

bool cold_gate::on_warm_report(const warm_news& it, instant now) {
    const auto group = group_of(it.upstream);
    auto& shard = shards_[group % shard_count];
    const lock_guard lock(shard.lock);
    const auto holder = shard.holders[group / shard_count];
    if (!it.holder.is_set() || holder != it.holder || !shard.upstreams[it.upstream].take(it, now)) {
        ++shard.count.news_ignored;
        return false;
    }
    ++shard.count.news_taken;
    return true;
}

std::vector<warm_news> cold_gate::warm_reports(random_source& random, std::size_t most, std::size_t old,
                                               millis recent, instant now) const {
    std::vector<warm_news> fresh;
    std::vector<warm_news> stale;
    std::uint64_t seen = 0;
    for (auto& shard : shards_) {
        const lock_guard lock(shard.lock);
        for (const auto& [name, trust] : shard.upstreams) {
            const auto it = trust.news();
            const auto group = group_of(name);
            if (!it || shard.holders[group / shard_count] != it->holder) {
                continue; // A former holder's statement would be ignored by its receiver.
            }
            if (now - trust.news_at() < recent) {
                fresh.push_back(*it);
            } else if (stale.size() < old) {
                ++seen;
                stale.push_back(*it);
            } else if (const auto at = random.below(++seen); at < old) {
                stale[at] = *it;
            }
        }
    }
    const auto count = std::min(most, fresh.size());
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
    std::vector<std::pair<std::string, std::string>> out;
    auto& shard = shards_[group % shard_count];
    const lock_guard lock(shard.lock);
    for (const auto& [name, trust] : shard.upstreams) {
        if (group_of(name) == group) {
            for (auto& it : trust.warm_incarnations()) {
                out.emplace_back(name, std::move(it));
            }
        }
    }
    return out;
}

std::size_t cold_gate::verified_connections(std::string_view upstream) const {
    auto& shard = shard_of(upstream);
    const lock_guard lock(shard.lock);
    const auto it = shard.upstreams.find(upstream);
    return it == shard.upstreams.end() ? 0 : it->second.verified();
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
        sum.denied_none += shard.count.denied_none;
        sum.denied_late += shard.count.denied_late;
        sum.news_taken += shard.count.news_taken;
        sum.news_ignored += shard.count.news_ignored;
    }
    return sum;
}

bool cold_gate::is_permit_good(const cold_attempt& it, instant now, counters& count) {
    if (!it.permit_ || it.permit_->upstream != it.upstream_) {
        ++count.denied_none;
        return false;
    }
    if (it.run_limit_ <= millis{0} || now + it.run_limit_ > it.permit_->expires) {
        ++count.denied_late;
        return false;
    }
    return true;
}

} // namespace berylcrank
