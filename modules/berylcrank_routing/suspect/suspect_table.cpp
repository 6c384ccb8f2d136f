#include "modules/berylcrank_routing/suspect/suspect_table.h"

#include "absl/hash/hash.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::size_t most_events = 8;        // per suspect
constexpr std::size_t most_fingerprints = 64; // per event; an upstream has few slots
constexpr millis expiry_interval{1000};
constexpr millis news_lifetime{10000}; // some 30 gossip rounds
constexpr std::uint32_t in_flight_cleared = 0;
constexpr std::uint32_t in_flight_of_trial = 1;

void add_once(std::vector<std::uint64_t>& to, std::uint64_t it) {
    if (to.size() < most_fingerprints && std::ranges::find(to, it) == to.end()) {
        to.push_back(it);
    }
}

} // namespace

bool suspect_table::was_good(std::uint64_t fingerprint, instant now) const {
    const auto at = good_.find(fingerprint);
    return at != good_.end() && now - at->second < options_.good_memory;
}

suspect_verdict suspect_table::check(std::uint64_t fingerprint, instant now) {
    const lock_guard lock(mutex_);
    if (now >= next_expiry_) {
        expire(now);
    }
    const auto at = suspects_.find(fingerprint);
    if (at == suspects_.end()) {
        return {};
    }
    auto& it = at->second;
    if (now < it.refused_until) {
        return {.action = suspect_verdict::action_kind::refuse, .retry_after = it.refused_until - now};
    }
    if (it.owner != options_.self) {
        return {.action = suspect_verdict::action_kind::relay, .owner = it.owner};
    }
    if (it.is_in_trial && now - it.trial_started < options_.trial_limit) {
        return {.action = suspect_verdict::action_kind::wait};
    }
    it.is_in_trial = true;
    it.trial_started = now;
    return {.action = suspect_verdict::action_kind::run_alone};
}

void suspect_table::clear(std::uint64_t fingerprint) {
    const auto at = suspects_.find(fingerprint);
    for (const auto event : at->second.events) {
        if (const auto record = events_.find(event); record != events_.end()) {
            add_once(record->second.cleared, fingerprint);
        }
    }
    suspects_.erase(at);
}

std::optional<crash_news> suspect_table::on_success(std::uint64_t fingerprint, instant now) {
    const lock_guard lock(mutex_);
    if (good_.size() >= options_.good) {
        absl::erase_if(good_, [&](const auto& it) { return now - it.second >= options_.good_memory; });
    }
    if (good_.size() < options_.good || good_.contains(fingerprint)) {
        good_[fingerprint] = now;
    }
    const auto at = suspects_.find(fingerprint);
    // An answer to a copy sent before the second crash does not lift a refusal.
    if (at == suspects_.end() || now < at->second.refused_until) {
        return std::nullopt;
    }
    clear(fingerprint);
    return crash_news{.fingerprint = fingerprint, .in_flight = in_flight_cleared, .reporter = options_.self};
}

void suspect_table::on_trial_unused(std::uint64_t fingerprint) {
    const lock_guard lock(mutex_);
    if (const auto at = suspects_.find(fingerprint); at != suspects_.end()) {
        at->second.is_in_trial = false;
    }
}

std::optional<crash_news> suspect_table::on_connection_lost(std::uint64_t fingerprint,
                                                            std::string_view upstream,
                                                            std::string_view upstream_incarnation,
                                                            std::uint32_t in_flight, instant now) {
    const lock_guard lock(mutex_);
    const auto at = suspects_.find(fingerprint);
    const bool is_suspect = at != suspects_.end();
    if (!is_suspect && was_good(fingerprint, now)) {
        good_.erase(fingerprint); // protects once: the next crash makes it a suspect
        return std::nullopt;
    }
    const bool is_trial = is_suspect && at->second.is_in_trial;
    if (is_suspect && !is_trial) {
        return std::nullopt;
    }
    const crash_news it{.fingerprint = fingerprint,
                        .upstream = std::string(upstream),
                        .upstream_incarnation = std::string(upstream_incarnation),
                        .in_flight =
                            is_trial ? in_flight_of_trial : std::max(in_flight, in_flight_of_trial + 1),
                        .reporter = options_.self};
    take(it, now);
    return it;
}

void suspect_table::merge(std::span<const crash_news> news, instant now) {
    const lock_guard lock(mutex_);
    for (const auto& it : news) {
        if (it.in_flight != in_flight_cleared) {
            take(it, now);
        } else if (const auto at = suspects_.find(it.fingerprint);
                   at != suspects_.end() && now >= at->second.refused_until) {
            clear(it.fingerprint);
        }
    }
}

std::uint64_t suspect_table::event_of(const crash_news& it, instant now) {
    auto key = absl::HashOf(it.upstream, it.upstream_incarnation);
    if (it.upstream_incarnation.empty()) {
        auto& [last, number] = unnamed_[it.upstream];
        number += now - last > options_.same_crash ? 1 : 0;
        last = now;
        key = absl::HashOf(it.upstream, number);
    }
    auto& event = events_.try_emplace(key, event_record{.at = now}).first->second;
    add_once(event.fingerprints, it.fingerprint);
    return key;
}

void suspect_table::make_room() {
    if (suspects_.size() >= options_.entries) {
        suspects_.erase(
            std::ranges::min_element(suspects_, {}, [](const auto& it) { return it.second.last_crash; }));
    }
}

void suspect_table::take(const crash_news& it, instant now) {
    const auto key = event_of(it, now);
    const auto& event = events_.at(key);
    const bool is_trial = it.in_flight == in_flight_of_trial;
    auto at = suspects_.find(it.fingerprint);
    if (at == suspects_.end()) {
        const bool was_cleared = std::ranges::find(event.cleared, it.fingerprint) != event.cleared.end();
        if (was_cleared || (event.is_explained && !is_trial)) {
            return;
        }
        make_room();
        at = suspects_.try_emplace(it.fingerprint).first;
    }
    auto& entry = at->second;
    if (!entry.owner.is_set() || it.reporter < entry.owner) {
        entry.owner = it.reporter;
    }
    if (std::ranges::find(entry.events, key) != entry.events.end()) {
        return; // another reporter, or the same news again
    }
    if (entry.events.size() >= most_events) {
        entry.events.erase(entry.events.begin());
    }
    entry.events.push_back(key);
    entry.last_crash = now;
    if (it.reporter == options_.self) {
        entry.own_news = it;
    }
    if (is_trial) {
        ++entry.trial_crashes;
        entry.is_in_trial = false;
        entry.refused_until = now + options_.refusal;
        explain(key, it.fingerprint);
    }
}

/** Clears all others of a crash that `culprit` caused in its trial. */
void suspect_table::explain(std::uint64_t event, std::uint64_t culprit) {
    auto& record = events_.at(event);
    record.is_explained = true;
    for (const auto fingerprint : record.fingerprints) {
        const auto at = suspects_.find(fingerprint);
        if (fingerprint == culprit || at == suspects_.end() || at->second.trial_crashes > 0) {
            continue;
        }
        std::erase(at->second.events, event);
        if (at->second.events.empty()) {
            suspects_.erase(at);
        }
    }
}

void suspect_table::on_gone(incarnation node) {
    const lock_guard lock(mutex_);
    absl::erase_if(suspects_,
                   [&](const auto& it) { return it.second.owner == node && it.second.trial_crashes == 0; });
}

void suspect_table::expire(instant now) {
    next_expiry_ = now + expiry_interval;
    absl::erase_if(suspects_,
                   [&](const auto& it) { return now - it.second.last_crash > options_.suspicion; });
    absl::erase_if(events_, [&](const auto& it) { return now - it.second.at > options_.suspicion; });
    absl::erase_if(unnamed_, [&](const auto& it) { return now - it.second.first > options_.suspicion; });
}

std::vector<crash_news> suspect_table::recent_crash_reports(std::size_t limit, instant now) const {
    const lock_guard lock(mutex_);
    std::vector<crash_news> all;
    for (const auto& [fingerprint, entry] : suspects_) {
        // Only own news, so that it cannot circulate for ever.
        if (all.size() < limit && entry.own_news.reporter.is_set() &&
            now - entry.last_crash <= news_lifetime) {
            all.push_back(entry.own_news);
        }
    }
    return all;
}

std::size_t suspect_table::size() const {
    const lock_guard lock(mutex_);
    return suspects_.size();
}

} // namespace berylcrank
