#include "modules/berylcrank_routing/cold/permit_issuer.h"

#include <algorithm>
#include <utility>

namespace berylcrank {

namespace {
constexpr double requester_retries = 3.0;  // A waiting requester is dropped after this many missed retries.
constexpr std::size_t max_waiting = 64;    // Per upstream; the oldest is dropped.
constexpr std::size_t max_reports = 65536; // Further reports are dropped until they are taken.
} // namespace

permit_issuer::permit_issuer(const options& opts)
    : options_(opts), confirmed_at_(instant{} - instant::never().since_start()),
      last_permit_(opts.self.value) {}

void permit_issuer::hold(std::uint32_t group, bool is_hand_over, instant now) {
    const lock_guard lock(mutex_);
    auto& held = groups_.at(group % group_count);
    if (held.is_held || is_retired_) {
        return;
    }
    const auto& times = options_.times;
    held.is_held = true;
    held.issue_from = now + times.permit_lifetime + times.expiry_margin +
                      (is_hand_over ? millis{0} : times.max_proof_age + times.gossip_delay);
}

void permit_issuer::hold_immediately(std::uint32_t group) {
    const lock_guard lock(mutex_);
    auto& held = groups_.at(group % group_count);
    if (!held.is_held && !is_retired_) {
        held = {.is_held = true, .issue_from = instant{}};
    }
}

void permit_issuer::stop(std::uint32_t group) {
    const lock_guard lock(mutex_);
    groups_.at(group % group_count).is_held = false;
}

void permit_issuer::retire() {
    const lock_guard lock(mutex_);
    is_retired_ = true;
    for (auto& held : groups_) {
        held.is_held = false;
    }
}

void permit_issuer::confirm_holder(instant proof) {
    const lock_guard lock(mutex_);
    confirmed_at_ = std::max(confirmed_at_, proof);
}

permit_response permit_issuer::acquire(incarnation requester, std::string_view upstream, request_class cls,
                                       const cold_limits& limits, instant now) {
    const lock_guard lock(mutex_);
    const auto& group = groups_.at(group_of(upstream));
    if (!group.is_held) {
        return {.is_holder = false};
    }
    if (const auto wait = wait_time(group, now); wait > millis{0}) {
        return {.retry_after = wait};
    }
    auto& state = upstreams_[std::string(upstream)];
    remove_expired(state, now);
    if (!admit(state, requester, cls, limits, now)) {
        ++count_.refused_full;
        return {.retry_after = options_.retry};
    }
    const auto& times = options_.times;
    state.permits.push_back({++last_permit_, now + times.permit_lifetime + times.expiry_margin});
    ++count_.granted;
    return {.granted = true, .permit = last_permit_, .expires_after = times.permit_lifetime};
}

void permit_issuer::release(const permit_release& released, const cold_limits& limits, instant now) {
    const lock_guard lock(mutex_);
    const bool is_held = groups_.at(group_of(released.upstream)).is_held;
    if (!is_held && !upstreams_.contains(released.upstream)) {
        return;
    }
    auto& state = upstreams_[released.upstream];
    remove_expired(state, now);
    if (is_held && released.reported_cold &&
        state.warm.on_cold_report(released.upstream_incarnation) == warm_tracker::change::became_cold) {
        declare(released.upstream, released.upstream_incarnation, false);
    }
    if (std::erase_if(state.permits,
                      [&](const permit_entry& known) { return known.id == released.permit; }) == 0) {
        return;
    }
    // A retired holder also takes its permits back, because it hands over when none is outstanding.
    if (is_held && released.outcome == permit_outcome::good && !released.reported_cold &&
        state.warm.on_success(released.upstream_incarnation, limits.warm_requests) ==
            warm_tracker::change::became_warm) {
        declare(released.upstream, released.upstream_incarnation, true);
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

std::vector<warm_report> permit_issuer::take_warm_reports() {
    const lock_guard lock(mutex_);
    return std::exchange(reports_, {});
}

std::size_t permit_issuer::outstanding(std::string_view upstream, instant now) const {
    const lock_guard lock(mutex_);
    const auto at = upstreams_.find(upstream);
    return at == upstreams_.end() ? 0
                                  : static_cast<std::size_t>(std::ranges::count_if(
                                        at->second.permits,
                                        [&](const permit_entry& permit) { return permit.expires_at > now; }));
}

std::size_t permit_issuer::total_outstanding(instant now) const {
    const lock_guard lock(mutex_);
    std::size_t total = 0;
    for (const auto& [name, state] : upstreams_) {
        total += static_cast<std::size_t>(std::ranges::count_if(
            state.permits, [&](const permit_entry& permit) { return permit.expires_at > now; }));
    }
    return total;
}

bool permit_issuer::is_holder(std::uint32_t group) const {
    const lock_guard lock(mutex_);
    return groups_.at(group % group_count).is_held;
}

permit_issuer::counters permit_issuer::count() const {
    const lock_guard lock(mutex_);
    return count_;
}

millis permit_issuer::wait_time(const held_group& group, instant now) {
    if (now < group.issue_from) {
        ++count_.refused_waiting;
        return group.issue_from - now;
    }
    if (now - confirmed_at_ > options_.times.max_proof_age) {
        ++count_.refused_unconfirmed;
        return options_.retry;
    }
    return millis{0};
}

bool permit_issuer::admit(upstream_state& state, incarnation requester, request_class cls,
                          const cold_limits& limits, instant now) {
    std::erase_if(state.waiting, [&](const waiting_requester& known) { return known.until < now; });
    const auto is_same = [&](const waiting_requester& known) {
        return known.requester == requester && known.request_class == cls;
    };
    const auto ahead = static_cast<std::size_t>(std::ranges::count_if(
        state.waiting, [&](const waiting_requester& known) { return known.request_class < cls; }));
    if (state.permits.size() + ahead < limits.concurrency) {
        std::erase_if(state.waiting, is_same);
        return true;
    }
    const auto until = now + options_.retry * requester_retries;
    if (const auto found = std::ranges::find_if(state.waiting, is_same); found != state.waiting.end()) {
        found->until = until;
    } else {
        if (state.waiting.size() == max_waiting) {
            state.waiting.erase(state.waiting.begin());
        }
        state.waiting.push_back({requester, cls, until});
    }
    return false;
}

void permit_issuer::remove_expired(upstream_state& state, instant now) {
    count_.expired +=
        std::erase_if(state.permits, [&](const permit_entry& permit) { return permit.expires_at <= now; });
}

void permit_issuer::declare(std::string_view upstream, std::string_view upstream_incarnation, bool warm) {
    ++(warm ? count_.declared_warm : count_.declared_cold);
    if (reports_.size() < max_reports) {
        reports_.push_back({std::string(upstream), std::string(upstream_incarnation), warm, ++last_sequence_,
                            options_.self});
    }
}

} // namespace berylcrank
