#include "modules/berylcrank_balance/usage/usage_holder.h"

#include <algorithm>
#include <cmath>
#include <vector>
#include <xxhash.h>

namespace berylcrank {

namespace {

constexpr millis denial_memory{1000}; // time in which the number of recent refusals halves
constexpr millis max_wait{10000};
// From this share on, a new bucket contains a token, so that an account with a low rate is not refused after
// a restart of the holders. The slack covers the few nodes that can have such a share.
constexpr double min_share_of_first_token = 0.25;

} // namespace

std::uint64_t account_number(std::string_view name) {
    return XXH3_64bits(name.data(), name.size());
}

double usage_holder::lent_share(std::size_t group) const {
    return static_cast<double>(groups_[group].share) / static_cast<double>(share_unit);
}

std::size_t usage_holder::bucket_count() const {
    std::size_t n = 0;
    for (const auto& it : groups_) {
        n += it.buckets.size();
    }
    return n;
}

usage_acknowledgement usage_holder::on_pledge(std::uint64_t owner, std::uint64_t owner_run,
                                              const usage_pledge& it, instant now) {
    expire(now);
    raise_node_count(it.nodes);
    const usage_acknowledgement result{
        .stamp = now.since_start().micros(), .nodes = nodes_, .owner_run = owner_run};
    if (const auto known = loans_.find(owner); known != loans_.end() && known->second.owner_run < owner_run) {
        set_loan(owner, {.owner_run = owner_run, .end = known->second.end}, now);
    }
    if (it.holder_run != run_ || it.nodes == 0 || it.stamp > result.stamp) {
        return result;
    }
    const instant end = instant{millis::from_micros(it.stamp)} + pledge_lifetime;
    if (end <= now || !may_replace(owner, owner_run, it.stamp)) {
        return result;
    }
    set_loan(owner,
             {.owner_run = owner_run,
              .stamp = it.stamp,
              .share = share_unit / usage_portion_count / it.nodes,
              .groups = it.groups,
              .end = end},
             now);
    return result;
}

bool usage_holder::may_replace(std::uint64_t owner, std::uint64_t owner_run, std::int64_t stamp) const {
    const auto it = loans_.find(owner);
    if (it == loans_.end()) {
        return loans_.size() < max_owners;
    }
    return owner_run > it->second.owner_run ||
           (owner_run == it->second.owner_run && stamp >= it->second.stamp);
}

void usage_holder::set_loan(std::uint64_t owner, const loan& it, instant now) {
    auto& stored = loans_[owner];
    const auto share_of = [](const loan& from, std::size_t group) {
        std::uint64_t n = 0;
        for (const auto groups : from.groups) {
            n += (groups >> group) & 1U ? from.share : 0;
        }
        return static_cast<std::int64_t>(n);
    };
    if (stored.groups != it.groups || stored.share != it.share) {
        for (std::size_t group = 0; group < usage_group_count; ++group) {
            change_share(group, share_of(it, group) - share_of(stored, group), now);
        }
    }
    stored = it;
    next_expiry_ = std::min(next_expiry_, it.end);
    raise_node_count(static_cast<std::uint32_t>(loans_.size()));
}

void usage_holder::expire(instant now) {
    if (now < next_expiry_) {
        return;
    }
    std::vector<std::pair<instant, std::uint64_t>> ended;
    auto next = instant::never();
    for (const auto& [owner, it] : loans_) {
        if (it.end <= now) {
            ended.emplace_back(it.end, owner);
        } else {
            next = std::min(next, it.end);
        }
    }
    // In the order of their ends, so that each bucket fills with what was lent at each moment.
    std::sort(ended.begin(), ended.end());
    for (const auto& [end, owner] : ended) {
        set_loan(owner, {.end = instant::never()}, end);
        loans_.erase(owner);
    }
    next_expiry_ = next;
}

void usage_holder::change_share(std::size_t group, std::int64_t by, instant now) {
    if (by == 0) {
        return;
    }
    auto& it = groups_[group];
    const double before = lent_share(group);
    for (auto& [account, known] : it.buckets) {
        fill(known, before, now);
    }
    fill_idle(it, now);
    it.share = static_cast<std::uint64_t>(static_cast<std::int64_t>(it.share) + by);
    for (auto& level : it.idle_levels) {
        level = std::min(level, lent_share(group));
    }
    for (auto& [account, known] : it.buckets) {
        known.level = std::min(known.level, capacity(known, lent_share(group)));
    }
}

double usage_holder::capacity(const bucket& it, double share) const {
    return share * (it.limits.burst + tolerance_.extra_burst());
}

void usage_holder::fill(bucket& it, double share, instant now) const {
    if (now > it.filled_at) {
        it.level += (now - it.filled_at).value() / 1000 * it.limits.rate_per_second * share;
        it.filled_at = now;
    }
    it.level = std::min(it.level, capacity(it, share));
}

void usage_holder::fill_idle(group_state& it, instant now) {
    const double share = static_cast<double>(it.share) / static_cast<double>(share_unit);
    const double seconds = std::max(0.0, (now - it.idle_filled_at).value() / 1000);
    for (std::size_t i = 0; i < idle_fill_times.size(); ++i) {
        it.idle_levels[i] = std::min(share, it.idle_levels[i] + seconds * share / idle_fill_times[i]);
    }
    it.idle_filled_at = std::max(it.idle_filled_at, now);
}

usage_holder::bucket& usage_holder::find_bucket(const usage_request& it, instant now) {
    auto& group = groups_[usage_group(it.account)];
    const double share = lent_share(usage_group(it.account));
    const auto found = group.buckets.find(it.account);
    if (found != group.buckets.end()) {
        auto& known = found->second;
        fill(known, share, now);
        if (it.version > known.version) {
            known.version = it.version;
            known.limits = it.limits;
            known.level = std::min(known.level, capacity(known, share));
        }
        return known;
    }
    if (group.buckets.size() >= max_buckets) {
        drop_idle_bucket(group);
    }
    auto& created = group.buckets[it.account];
    created = {.limits = it.limits, .version = it.version, .filled_at = now};
    // The next longer fill time, with which a bucket has no more than it would have had.
    const double whole = capacity(created, 1);
    const auto fill_time =
        std::lower_bound(idle_fill_times.begin(), idle_fill_times.end(), whole / it.limits.rate_per_second);
    if (fill_time != idle_fill_times.end()) {
        fill_idle(group, now);
        created.level =
            whole * group.idle_levels[static_cast<std::size_t>(fill_time - idle_fill_times.begin())];
    }
    if (share >= min_share_of_first_token) {
        created.level = std::max(created.level, 1.0);
    }
    return created;
}

void usage_holder::drop_idle_bucket(group_state& group) {
    const auto oldest =
        std::min_element(group.buckets.begin(), group.buckets.end(), [](const auto& a, const auto& b) {
            return a.second.filled_at < b.second.filled_at;
        });
    if (oldest != group.buckets.end()) {
        group.buckets.erase(oldest);
    }
}

usage_response usage_holder::on_request(const usage_request& it, instant now) {
    expire(now);
    const double share = lent_share(usage_group(it.account));
    if (share <= 0 || !(it.limits.rate_per_second > 0)) {
        return {.id = it.id};
    }
    auto& known = find_bucket(it, now);
    if (known.level >= 1) {
        known.level -= 1;
        return {.id = it.id, .granted = true, .has_pledges = true};
    }
    known.denied *= std::exp2(-(now - known.denied_at).value() / denial_memory.value());
    known.denied_at = now;
    const double tokens = 1 - known.level + known.denied;
    known.denied += 1;
    const double rate = known.limits.rate_per_second * share;
    return {.id = it.id,
            .has_pledges = true,
            .wait = millis::from_value(std::min(max_wait.value(), tokens / rate * 1000))};
}

} // namespace berylcrank
