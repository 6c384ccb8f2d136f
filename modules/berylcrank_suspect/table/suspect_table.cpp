#include "modules/berylcrank_suspect/table/suspect_table.h"

#include <algorithm>
#include <utility>

namespace berylcrank {

namespace {

using action_kind = suspect_verdict::action_kind;

constexpr std::size_t max_losses = 8; // per suspect
constexpr millis expiry_interval{1000};
constexpr millis trial_retry{1000}; // after which a copy that comes during a trial may return

} // namespace

suspect_report suspect_report::shifted(millis offset) const {
    auto result = *this;
    const auto shift = [offset](std::optional<instant>& it) {
        it = it ? std::optional(*it + offset) : std::nullopt;
    };
    shift(result.cleared_at);
    shift(result.trial_started);
    for (auto& it : result.losses) {
        it.sent_at = it.sent_at + offset;
        it.lost_at = it.lost_at + offset;
    }
    return result;
}

std::uint32_t suspect_table::crashes_in_sequence(const suspect& it) {
    std::uint32_t crashes = 0;
    const upstream_loss* last = nullptr;
    for (const auto& loss : it.losses) {
        if (last == nullptr || loss.follows(*last)) {
            ++crashes;
            last = &loss;
        }
    }
    return crashes;
}

millis suspect_table::refusal_after(std::uint32_t crashes) const {
    const auto doublings = static_cast<int>(crashes - options_.crashes_to_refuse);
    return std::min(options_.max_refusal, options_.refusal * static_cast<double>(1U << doublings));
}

instant suspect_table::forget_at(const suspect& it) const {
    auto last = it.cleared_at.value_or(instant{});
    if (!it.losses.empty()) {
        const auto crashes = crashes_in_sequence(it);
        const auto refusal = crashes >= options_.crashes_to_refuse ? refusal_after(crashes) : millis{};
        last = std::max(last, it.losses.back().lost_at + refusal);
    }
    return last + options_.lifetime;
}

void suspect_table::drop_survived(suspect& it) const {
    std::erase_if(it.losses, has_survived_);
}

void suspect_table::mark_changed(suspect& it) const {
    it.copies_left.fill(options_.report_copies);
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
    drop_survived(it);
    const auto crashes = crashes_in_sequence(it);
    if (crashes < options_.crashes_to_refuse) {
        return {};
    }
    const auto last = it.losses.back().lost_at;
    const auto until = last + refusal_after(crashes);
    const bool in_trial = it.trial_started && now - *it.trial_started < options_.trial_timeout;
    if (now >= until + options_.trial_delay && !in_trial) {
        it.trial_started = now;
        mark_changed(it); // the other nodes start no trial meanwhile
        return {.action = action_kind::trial};
    }
    ++it.refusals;
    ++refusals_;
    const auto left = now < until ? until - now : trial_retry;
    const auto undecided = last + options_.evidence_time - now;
    return {.action = action_kind::refuse, .retry_after = undecided > millis{} ? undecided : left};
}

bool suspect_table::allows_retry(std::uint64_t fingerprint) {
    const lock_guard lock(mutex_);
    const auto at = suspects_.find(fingerprint);
    if (at == suspects_.end()) {
        return true;
    }
    drop_survived(at->second);
    return crashes_in_sequence(at->second) + 1 < options_.crashes_to_refuse;
}

suspect_table::suspect_map::iterator suspect_table::find_or_add(std::uint64_t fingerprint, instant now) {
    const auto at = suspects_.find(fingerprint);
    if (at != suspects_.end()) {
        return at;
    }
    if (suspects_.size() >= options_.max_suspects && now >= next_expiry_) { // a full table is searched rarely
        expire(now);
    }
    if (suspects_.size() >= options_.max_suspects) {
        ++untracked_;
        return suspects_.end();
    }
    return suspects_.try_emplace(fingerprint).first;
}

// Removes a loss that does not count towards the sequence if there is one, otherwise the oldest. Many copies
// of a request can be lost at once, and would otherwise push out the losses that count.
void suspect_table::trim_losses(suspect& it) {
    if (it.losses.size() <= max_losses) {
        return;
    }
    auto victim = it.losses.begin();
    auto last = it.losses.begin();
    for (auto at = std::next(it.losses.begin()); at != it.losses.end(); ++at) {
        if (at->follows(*last)) {
            last = at;
        } else {
            victim = at;
        }
    }
    it.losses.erase(victim);
}

// Returns whether the loss was not known and is kept.
bool suspect_table::add_loss(suspect& it, const upstream_loss& loss) {
    if (it.cleared_at && loss.lost_at <= *it.cleared_at) {
        return false;
    }
    const auto is_same = [&](const auto& known) { return known.same_crash(loss); };
    const auto same = std::ranges::find_if(it.losses, is_same);
    const bool is_new = same == it.losses.end();
    if (is_new) {
        it.losses.push_back(loss);
    } else if (loss.closed != same->closed ? loss.closed : loss.lost_at < same->lost_at) {
        *same = loss; // times of other nodes are late by the time of the message
    }
    std::ranges::sort(it.losses, {}, &upstream_loss::lost_at);
    trim_losses(it);
    return is_new && std::ranges::any_of(it.losses, is_same);
}

std::uint32_t suspect_table::on_lost(std::uint64_t fingerprint, const upstream_loss& loss, instant now) {
    const lock_guard lock(mutex_);
    const auto at = find_or_add(fingerprint, now);
    if (at == suspects_.end()) {
        return 0;
    }
    auto& it = at->second;
    it.trial_started.reset();
    drop_survived(it);
    add_loss(it, loss);
    mark_changed(it);
    return crashes_in_sequence(it);
}

void suspect_table::clear(suspect_map::iterator it, instant when) {
    auto& entry = it->second;
    false_refusals_ += std::exchange(entry.refusals, 0);
    if (!entry.is_shared) {
        suspects_.erase(it);
        return;
    }
    // Kept, so that older reports of other nodes do not restore the losses.
    entry.cleared_at = std::max(entry.cleared_at.value_or(when), when);
    entry.trial_started.reset();
    std::erase_if(entry.losses, [&](const auto& loss) { return loss.lost_at <= *entry.cleared_at; });
}

void suspect_table::on_success(std::uint64_t fingerprint, instant now) {
    const lock_guard lock(mutex_);
    const auto at = suspects_.find(fingerprint);
    if (at == suspects_.end()) {
        return;
    }
    at->second.trial_started.reset();
    if (!at->second.losses.empty()) {
        mark_changed(at->second);
        clear(at, now);
    }
}

void suspect_table::on_trial_unused(std::uint64_t fingerprint) {
    const lock_guard lock(mutex_);
    if (const auto at = suspects_.find(fingerprint); at != suspects_.end()) {
        at->second.trial_started.reset();
    }
}

// Returns whether a trial is running that was not known.
bool suspect_table::merge_trial(suspect& it, const suspect_report& report) const {
    // A trial that has ended in a crash is over, also if its start is reported later.
    const auto last_crash = report.losses.empty() ? instant{} : report.losses.back().lost_at;
    if (report.trial_started && *report.trial_started >= last_crash) {
        const bool is_new = !it.trial_started || *report.trial_started - *it.trial_started > trial_retry;
        it.trial_started = std::max(it.trial_started.value_or(instant{}), *report.trial_started);
        return is_new;
    }
    if (it.trial_started && last_crash > *it.trial_started) {
        it.trial_started.reset();
    }
    return false;
}

// Returns whether the report changed the suspect.
bool suspect_table::merge_report(suspect_map::iterator at, const suspect_report& report) {
    auto& it = at->second;
    it.is_shared = true;
    bool has_changed = false;
    if (report.cleared_at && (!it.cleared_at || *report.cleared_at > *it.cleared_at)) {
        has_changed = !it.losses.empty();
        clear(at, *report.cleared_at);
    }
    has_changed = merge_trial(it, report) || has_changed;
    const auto known = it.losses.size();
    bool adds_loss = false;
    for (const auto& loss : report.losses) {
        adds_loss = add_loss(it, loss) || adds_loss;
    }
    // The sender has missed that the suspect was cleared.
    if (!adds_loss && known == 0 && !report.losses.empty()) {
        mark_changed(it);
    }
    return has_changed || adds_loss;
}

void suspect_table::merge(std::span<const suspect_report> reports, instant now, report_scope sender) {
    const lock_guard lock(mutex_);
    for (const auto& report : reports) {
        const auto at = find_or_add(report.fingerprint, now);
        if (at != suspects_.end() && merge_report(at, report) && sender == report_scope::other_cells) {
            mark_changed(at->second);
        }
    }
}

bool suspect_table::is_worth_reporting(const suspect& it, instant now) const {
    if (it.losses.empty()) {
        return it.cleared_at.has_value();
    }
    if (crashes_in_sequence(it) > 1) {
        return true;
    }
    // Most single losses are withdrawn within the first time: by a retry that succeeds, or by the upstream.
    const auto age = now - it.losses.back().lost_at;
    return age >= options_.evidence_time && age < options_.single_report_time;
}

suspect_report suspect_table::make_report(std::uint64_t fingerprint, const suspect& it) {
    return {.fingerprint = fingerprint,
            .cleared_at = it.cleared_at,
            .trial_started = it.trial_started,
            .losses = it.losses};
}

std::vector<suspect_report> suspect_table::take_changes(std::size_t limit, instant now, report_scope to) {
    const lock_guard lock(mutex_);
    if (now >= next_expiry_) {
        expire(now);
    }
    const auto scope = static_cast<std::size_t>(to);
    std::vector<suspect_map::iterator> changed;
    for (auto at = suspects_.begin(); at != suspects_.end(); ++at) {
        if (at->second.copies_left[scope] > 0) {
            drop_survived(at->second);
            if (is_worth_reporting(at->second, now)) {
                changed.push_back(at);
            }
        }
    }
    std::ranges::sort(changed, std::greater{}, [](const auto& at) { return at->second.losses.size(); });
    changed.resize(std::min(changed.size(), limit));
    std::vector<suspect_report> result;
    for (const auto& at : changed) {
        --at->second.copies_left[scope];
        at->second.is_shared = true;
        result.push_back(make_report(at->first, at->second));
    }
    return result;
}

std::vector<suspect_report> suspect_table::refused(std::size_t limit, instant now) {
    const lock_guard lock(mutex_);
    if (now >= next_expiry_) {
        expire(now);
    }
    std::vector<suspect_report> result;
    for (auto& [fingerprint, it] : suspects_) {
        drop_survived(it);
        if (crashes_in_sequence(it) >= options_.crashes_to_refuse) {
            it.is_shared = true;
            result.push_back(make_report(fingerprint, it));
        }
    }
    // Starts after the last one of the message before, so that all are told in turn if there are many.
    std::ranges::sort(result, {}, &suspect_report::fingerprint);
    const auto next = std::ranges::upper_bound(result, last_refused_, {}, &suspect_report::fingerprint);
    std::rotate(result.begin(), next, result.end());
    result.resize(std::min(result.size(), limit));
    last_refused_ = result.empty() ? 0 : result.back().fingerprint;
    return result;
}

void suspect_table::expire(instant now) {
    next_expiry_ = now + expiry_interval;
    absl::erase_if(suspects_, [&](auto& entry) {
        auto& it = entry.second;
        drop_survived(it);
        if (it.losses.empty() && !it.cleared_at) {
            false_refusals_ += it.refusals;
            return true;
        }
        return now >= forget_at(it);
    });
}

bool suspect_table::empty() const {
    const lock_guard lock(mutex_);
    return suspects_.empty();
}

std::size_t suspect_table::size() const {
    const lock_guard lock(mutex_);
    return suspects_.size();
}

std::size_t suspect_table::losses() const {
    const lock_guard lock(mutex_);
    std::size_t n = 0;
    for (const auto& [fingerprint, it] : suspects_) {
        n += it.losses.size();
    }
    return n;
}

std::uint64_t suspect_table::untracked() const {
    const lock_guard lock(mutex_);
    return untracked_;
}

std::uint64_t suspect_table::refusals() const {
    const lock_guard lock(mutex_);
    return refusals_;
}

std::uint64_t suspect_table::false_refusals() const {
    const lock_guard lock(mutex_);
    return false_refusals_;
}

} // namespace berylcrank
