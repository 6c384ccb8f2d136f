#include "modules/berylcrank_routing/cold/permit_issuer.h"

#include <algorithm>
#include <utility>

namespace berylcrank {

namespace {
constexpr double asker_retries = 3.0;   // A waiting node is forgotten after missing this many retries.
constexpr std::size_t max_askers = 64;  // Of one upstream; the oldest is forgotten.
constexpr std::size_t max_news = 65536; // Statements kept when nobody takes them.
} // namespace

permit_issuer::permit_issuer(const options& it)
    : options_(it), confirmed_(instant{} - instant::never().since_start()), last_permit_(it.self.value) {}

void permit_issuer::hold(std::uint32_t group, bool is_hand_over, instant now) {
    const lock_guard lock(mutex_);
    auto& it = groups_.at(group % group_count);
    if (it.is_held || is_retired_) {
        return;
    }
    const auto& times = options_.times;
    it.is_held = true;
    it.issue_from = now + times.permit_lifetime + times.expiry_margin +
                    (is_hand_over ? millis{0} : times.max_proof_age + times.gossip_delay);
}

void permit_issuer::hold_immediately(std::uint32_t group) {
    const lock_guard lock(mutex_);
    auto& it = groups_.at(group % group_count);
    if (!it.is_held && !is_retired_) {
        it = {.is_held = true, .issue_from = instant{}};
    }
}

void permit_issuer::stop(std::uint32_t group) {
    const lock_guard lock(mutex_);
    groups_.at(group % group_count).is_held = false;
}

void permit_issuer::retire() {
    const lock_guard lock(mutex_);
    is_retired_ = true;
    for (auto& it : groups_) {
        it.is_held = false;
    }
}

void permit_issuer::confirm_holder(instant proof) {
    const lock_guard lock(mutex_);
    confirmed_ = std::max(confirmed_, proof);
}

permit_response permit_issuer::acquire(incarnation who, std::string_view upstream, request_class it,
                                       const cold_limits& limits, instant now) {
    const lock_guard lock(mutex_);
    const auto& group = groups_.at(group_of(upstream));
    if (!group.is_held) {
        return {.is_holder = false};
    }
    if (const auto wait = wait_of(group, now); wait > millis{0}) {
        return {.retry_after = wait};
    }
    auto& state = upstreams_[std::string(upstream)];
    drop_expired(state, now);
    if (!has_slot(state, who, it, limits, now)) {
        ++count_.refused_full;
        return {.retry_after = options_.retry};
    }
    const auto& times = options_.times;
    state.permits.push_back({++last_permit_, now + times.permit_lifetime + times.expiry_margin});
    ++count_.granted;
    return {.granted = true, .permit = last_permit_, .expires_after = times.permit_lifetime};
}

void permit_issuer::release(const permit_release& it, const cold_limits& limits, instant now) {
    const lock_guard lock(mutex_);
    const bool is_held = groups_.at(group_of(it.upstream)).is_held;
    if (!is_held && !upstreams_.contains(it.upstream)) {
        return;
    }
    auto& state = upstreams_[it.upstream];
    drop_expired(state, now);
    if (is_held && it.reported_cold &&
        state.warm.cold(it.upstream_incarnation) == warm_tracker::change::became_cold) {
        declare(it.upstream, it.upstream_incarnation, false);
    }
    if (std::erase_if(state.permits, [&](const permit_entry& known) { return known.id == it.permit; }) == 0) {
        return;
    }
    // A holder that has retired takes its permits back too: it hands over once none is outstanding.
    if (is_held && it.outcome == permit_outcome::good && !it.reported_cold &&
        state.warm.good(it.upstream_incarnation, limits.warm_requests) == warm_tracker::change::became_warm) {
        declare(it.upstream, it.upstream_incarnation, true);
    }
}

void permit_issuer::mark_warm(std::string_view upstream, std::string_view upstream_incarnation) {
    const lock_guard lock(mutex_);
    if (groups_.at(group_of(upstream)).is_held &&
        upstreams_[std::string(upstream)].warm.mark_warm(upstream_incarnation) ==
            warm_tracker::change::became_warm) {
        declare(upstream, upstream_incarnation, true);
    }
}

std::vector<warm_news> permit_issuer::take_warm_reports() {
    const lock_guard lock(mutex_);
    return std::exchange(news_, {});
}

std::size_t permit_issuer::outstanding(std::string_view upstream, instant now) const {
    const lock_guard lock(mutex_);
    const auto it = upstreams_.find(upstream);
    return it == upstreams_.end()
               ? 0
               : static_cast<std::size_t>(std::ranges::count_if(
                     it->second.permits, [&](const permit_entry& permit) { return permit.ends > now; }));
}

std::size_t permit_issuer::total_outstanding(instant now) const {
    const lock_guard lock(mutex_);
    std::size_t n = 0;
    for (const auto& [name, state] : upstreams_) {
        n += static_cast<std::size_t>(std::ranges::count_if(
            state.permits, [&](const permit_entry& permit) { return permit.ends > now; }));
    }
    return n;
}

bool permit_issuer::is_holder(std::uint32_t group) const {
    const lock_guard lock(mutex_);
    return groups_.at(group % group_count).is_held;
}

permit_issuer::counters permit_issuer::count() const {
    const lock_guard lock(mutex_);
    return count_;
}

millis permit_issuer::wait_of(const held_group& it, instant now) {
    if (now < it.issue_from) {
        ++count_.refused_waiting;
        return it.issue_from - now;
    }
    if (now - confirmed_ > options_.times.max_proof_age) {
        ++count_.refused_unconfirmed;
        return options_.retry;
    }
    return millis{0};
}

bool permit_issuer::has_slot(upstream_state& state, incarnation who, request_class it,
                             const cold_limits& limits, instant now) {
    std::erase_if(state.askers, [&](const asker& known) { return known.until < now; });
    const auto is_same = [&](const asker& known) { return known.who == who && known.request_class == it; };
    const auto ahead = static_cast<std::size_t>(
        std::ranges::count_if(state.askers, [&](const asker& known) { return known.request_class < it; }));
    if (state.permits.size() + ahead < limits.concurrency) {
        std::erase_if(state.askers, is_same);
        return true;
    }
    const auto until = now + options_.retry * asker_retries;
    if (const auto found = std::ranges::find_if(state.askers, is_same); found != state.askers.end()) {
        found->until = until;
    } else {
        if (state.askers.size() == max_askers) {
            state.askers.erase(state.askers.begin());
        }
        state.askers.push_back({who, it, until});
    }
    return false;
}

void permit_issuer::drop_expired(upstream_state& state, instant now) {
    count_.expired += std::erase_if(state.permits, [&](const permit_entry& it) { return it.ends <= now; });
}

void permit_issuer::declare(std::string_view upstream, std::string_view upstream_incarnation, bool warm) {
    ++(warm ? count_.declared_warm : count_.declared_cold);
    if (news_.size() < max_news) {
        news_.push_back(
            {std::string(upstream), std::string(upstream_incarnation), warm, ++sequence_, options_.self});
    }
}

} // namespace berylcrank
