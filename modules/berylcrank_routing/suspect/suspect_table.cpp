#include "modules/berylcrank_routing/suspect/suspect_table.h"

#include "absl/hash/hash.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::size_t max_crashes = 8;       // per suspect
constexpr std::size_t max_fingerprints = 64; // per crash; an upstream has few slots
constexpr millis expiry_interval{1000};
constexpr millis report_lifetime{10000}; // about 30 gossip rounds
constexpr std::uint32_t cleared_marker = 0;
constexpr std::uint32_t trial_marker = 1;

void add_once(std::vector<std::uint64_t>& to, std::uint64_t value) {
    if (to.size() < max_fingerprints && std::ranges::find(to, value) == to.end()) {
        to.push_back(value);
    }
}

} // namespace

bool suspect_table::has_recent_success(std::uint64_t fingerprint, instant now) const {
    const auto at = successes_.find(fingerprint);
    return at != successes_.end() && now - at->second < options_.success_lifetime;
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
    auto& entry = at->second;
    if (now < entry.refused_until) {
        return {.action = suspect_verdict::action_kind::refuse, .retry_after = entry.refused_until - now};
    }
    if (entry.owner != options_.self) {
        return {.action = suspect_verdict::action_kind::relay, .owner = entry.owner};
    }
    if (entry.is_in_trial && now - entry.trial_started < options_.trial_timeout) {
        return {.action = suspect_verdict::action_kind::wait};
    }
    entry.is_in_trial = true;
    entry.trial_started = now;
    return {.action = suspect_verdict::action_kind::run_alone};
}

void suspect_table::clear(std::uint64_t fingerprint) {
    const auto at = suspects_.find(fingerprint);
    for (const auto crash : at->second.crashes) {
        if (const auto record = crashes_.find(crash); record != crashes_.end()) {
            add_once(record->second.cleared, fingerprint);
        }
    }
    suspects_.erase(at);
}

std::optional<crash_report> suspect_table::on_success(std::uint64_t fingerprint, instant now) {
    const lock_guard lock(mutex_);
    if (successes_.size() >= options_.max_successes) {
        absl::erase_if(successes_,
                       [&](const auto& it) { return now - it.second >= options_.success_lifetime; });
    }
    if (successes_.size() < options_.max_successes || successes_.contains(fingerprint)) {
        successes_[fingerprint] = now;
    }
    const auto at = suspects_.find(fingerprint);
    // The response to a copy that was sent before the second crash does not end the refusal.
    if (at == suspects_.end() || now < at->second.refused_until) {
        return std::nullopt;
    }
    clear(fingerprint);
    return crash_report{.fingerprint = fingerprint, .in_flight = cleared_marker, .reporter = options_.self};
}

void suspect_table::on_trial_unused(std::uint64_t fingerprint) {
    const lock_guard lock(mutex_);
    if (const auto at = suspects_.find(fingerprint); at != suspects_.end()) {
        at->second.is_in_trial = false;
    }
}

std::optional<crash_report> suspect_table::on_connection_lost(std::uint64_t fingerprint,
                                                              std::string_view upstream,
                                                              std::string_view upstream_incarnation,
                                                              std::uint32_t in_flight, instant now) {
    const lock_guard lock(mutex_);
    const auto at = suspects_.find(fingerprint);
    const bool is_suspect = at != suspects_.end();
    if (!is_suspect && has_recent_success(fingerprint, now)) {
        successes_.erase(fingerprint); // protects once; the next crash makes the request a suspect
        return std::nullopt;
    }
    const bool is_trial = is_suspect && at->second.is_in_trial;
    if (is_suspect && !is_trial) {
        return std::nullopt;
    }
    const crash_report report{.fingerprint = fingerprint,
                              .upstream = std::string(upstream),
                              .upstream_incarnation = std::string(upstream_incarnation),
                              .in_flight = is_trial ? trial_marker : std::max(in_flight, trial_marker + 1),
                              .reporter = options_.self};
    apply(report, now);
    return report;
}

void suspect_table::merge(std::span<const crash_report> reports, instant now) {
    const lock_guard lock(mutex_);
    for (const auto& report : reports) {
        if (report.in_flight != cleared_marker) {
            apply(report, now);
        } else if (const auto at = suspects_.find(report.fingerprint);
                   at != suspects_.end() && now >= at->second.refused_until) {
            clear(report.fingerprint);
        }
    }
}

std::uint64_t suspect_table::record_crash(const crash_report& report, instant now) {
    auto key = absl::HashOf(report.upstream, report.upstream_incarnation);
    if (report.upstream_incarnation.empty()) {
        auto& [last, number] = unidentified_crashes_[report.upstream];
        number += now - last > options_.crash_window ? 1 : 0;
        last = now;
        key = absl::HashOf(report.upstream, number);
    }
    auto& crash = crashes_.try_emplace(key, crash_record{.at = now}).first->second;
    add_once(crash.fingerprints, report.fingerprint);
    return key;
}

void suspect_table::evict_if_full() {
    if (suspects_.size() >= options_.max_suspects) {
        suspects_.erase(
            std::ranges::min_element(suspects_, {}, [](const auto& it) { return it.second.last_crash; }));
    }
}

void suspect_table::apply(const crash_report& report, instant now) {
    const auto key = record_crash(report, now);
    const auto& crash = crashes_.at(key);
    const bool is_trial = report.in_flight == trial_marker;
    auto at = suspects_.find(report.fingerprint);
    if (at == suspects_.end()) {
        const bool was_cleared = std::ranges::find(crash.cleared, report.fingerprint) != crash.cleared.end();
        if (was_cleared || (crash.is_attributed && !is_trial)) {
            return;
        }
        evict_if_full();
        at = suspects_.try_emplace(report.fingerprint).first;
    }
    auto& entry = at->second;
    if (!entry.owner.is_set() || report.reporter < entry.owner) {
        entry.owner = report.reporter;
    }
    if (std::ranges::find(entry.crashes, key) != entry.crashes.end()) {
        return; // the crash is known from another reporter or an earlier copy
    }
    if (entry.crashes.size() >= max_crashes) {
        entry.crashes.erase(entry.crashes.begin());
    }
    entry.crashes.push_back(key);
    entry.last_crash = now;
    if (report.reporter == options_.self) {
        entry.own_report = report;
    }
    if (is_trial) {
        ++entry.trial_crashes;
        entry.is_in_trial = false;
        entry.refused_until = now + options_.refusal;
        attribute_crash(key, report.fingerprint);
    }
}

/** Clears the other suspects of a crash that `culprit` caused in its trial. */
void suspect_table::attribute_crash(std::uint64_t crash, std::uint64_t culprit) {
    auto& record = crashes_.at(crash);
    record.is_attributed = true;
    for (const auto fingerprint : record.fingerprints) {
        const auto at = suspects_.find(fingerprint);
        if (fingerprint == culprit || at == suspects_.end() || at->second.trial_crashes > 0) {
            continue;
        }
        std::erase(at->second.crashes, crash);
        if (at->second.crashes.empty()) {
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
                   [&](const auto& it) { return now - it.second.last_crash > options_.suspect_lifetime; });
    absl::erase_if(crashes_, [&](const auto& it) { return now - it.second.at > options_.suspect_lifetime; });
    absl::erase_if(unidentified_crashes_,
                   [&](const auto& it) { return now - it.second.first > options_.suspect_lifetime; });
}

std::vector<crash_report> suspect_table::recent_crash_reports(std::size_t limit, instant now) const {
    const lock_guard lock(mutex_);
    std::vector<crash_report> all;
    for (const auto& [fingerprint, entry] : suspects_) {
        // Only reports of this node, so that no report circulates for ever.
        if (all.size() < limit && entry.own_report.reporter.is_set() &&
            now - entry.last_crash <= report_lifetime) {
            all.push_back(entry.own_report);
        }
    }
    return all;
}

std::size_t suspect_table::size() const {
    const lock_guard lock(mutex_);
    return suspects_.size();
}

} // namespace berylcrank
