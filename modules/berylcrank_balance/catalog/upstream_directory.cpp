#include "modules/berylcrank_balance/catalog/upstream_directory.h"

#include <algorithm>
#include <xxhash.h>

namespace berylcrank {

namespace {

absl::string_view key(std::string_view it) {
    return {it.data(), it.size()};
}

} // namespace

upstream_ptr upstream_directory::apply(const upstream_entry& entry, millis warm_up, instant now) {
    if (is_superseded(entry)) {
        return nullptr;
    }
    const auto existing = find(entry.id);
    const bool same_start = existing && existing->entry.start_time_ms == entry.start_time_ms &&
                            existing->entry.address == entry.address &&
                            existing->entry.service == entry.service;
    if (same_start) {
        bool changed = existing->entry.draining != entry.draining || existing->lapsed;
        existing->entry = entry;
        existing->leaving = entry.draining || existing->announced_leave;
        existing->lapsed = false;
        if (entry.cold_left > millis{} && existing->cold_until < now + entry.cold_left) {
            changed = changed || existing->cold_until < now ||
                      existing->cold_until + cold_delay < now + entry.cold_left;
            set_cold(*existing, entry.cold_left, now);
        }
        return changed ? existing : nullptr;
    }
    const bool restarted = existing != nullptr;
    drop(entry.id);
    auto it = std::make_shared<upstream>();
    it->entry = entry;
    it->number = static_cast<std::uint32_t>(XXH3_64bits(entry.id.data(), entry.id.size()));
    it->announced_leave = has_announced_leave(entry);
    it->leaving = entry.draining || it->announced_leave;
    set_cold(*it, restarted ? std::max(entry.cold_left, warm_up) : entry.cold_left, now);
    by_id_[entry.id] = it;
    by_number_[it->number] = it;
    by_service_[entry.service].push_back(it);
    return it;
}

bool upstream_directory::is_superseded(const upstream_entry& entry) const {
    const auto existing = find(entry.id);
    return existing ? entry.order() < existing->entry.order() : departed_before(entry);
}

void upstream_directory::remember_departure(const upstream_entry& last, std::uint64_t epoch, instant now) {
    if (departures_.size() >= max_departures && !departures_.contains(last.id)) {
        forget_oldest_departures(now);
    }
    departures_[last.id] = {.last = last.order(), .epoch = epoch, .at = now};
}

void upstream_directory::forget_oldest_departures(instant now) {
    absl::erase_if(departures_, [&](const auto& it) { return now - it.second.at > departure_memory; });
    if (departures_.size() >= max_departures) {
        departures_.erase(
            std::min_element(departures_.begin(), departures_.end(),
                             [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
    }
}

bool upstream_directory::departed_before(const upstream_entry& entry) const {
    const auto found = departures_.find(entry.id);
    if (found == departures_.end()) {
        return false;
    }
    const auto& it = found->second;
    if (entry.epoch > it.epoch) {
        return entry.order() <= it.last; // an unchanged one may be part of the backup
    }
    // Without a start time, a lower sequence may be that of a new start.
    return entry.start_time_ms != 0 && entry.order() < it.last;
}

void upstream_directory::remove(std::string_view id, bool after_outage, instant now, std::uint64_t epoch) {
    const auto it = find(id);
    if (!it || (it->lapsed && after_outage)) {
        return;
    }
    if (after_outage && !it->entry.draining) {
        it->lapsed = true;
        it->lapsed_until = now + lapse_grace;
        it->lapse_epoch = epoch;
        next_lapse_ = std::min(next_lapse_, it->lapsed_until);
        return;
    }
    it->leaving = true;
    remember_departure(it->entry, epoch, now);
    drop(std::string(id));
}

bool upstream_directory::announce_leave(upstream& it) {
    if (it.announced_leave) {
        return false;
    }
    it.announced_leave = true;
    it.leaving = true;
    if (announced_leaves_.size() >= max_announced_leaves) {
        absl::erase_if(announced_leaves_,
                       [this](const auto& leave) { return !by_id_.contains(leave.first); });
    }
    announced_leaves_[it.entry.id] = it.entry.start_time_ms;
    return true;
}

bool upstream_directory::has_announced_leave(const upstream_entry& entry) const {
    const auto it = announced_leaves_.find(entry.id);
    return it != announced_leaves_.end() && entry.start_time_ms <= it->second;
}

std::optional<instant> upstream_directory::paused_until(std::string_view service, instant now) const {
    std::optional<instant> earliest;
    for (const auto& it : of_service(service)) {
        if (!usable(*it)) {
            continue;
        }
        if (it->paused_until <= now) {
            return std::nullopt;
        }
        earliest = earliest ? std::min(*earliest, it->paused_until) : it->paused_until;
    }
    return earliest;
}

void upstream_directory::expire(instant now) {
    if (now < next_lapse_) {
        return;
    }
    next_lapse_ = instant::never();
    std::vector<std::string> ended;
    for (const auto& [id, it] : by_id_) {
        if (!it->lapsed) {
            continue;
        }
        if (it->lapsed_until <= now) {
            it->leaving = true;
            ended.push_back(id);
        } else {
            next_lapse_ = std::min(next_lapse_, it->lapsed_until);
        }
    }
    for (const auto& id : ended) {
        const auto it = find(id);
        remember_departure(it->entry, it->lapse_epoch, now);
        drop(id);
    }
}

void upstream_directory::drop(const std::string& id) {
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) {
        return;
    }
    const auto it = found->second;
    by_id_.erase(found);
    by_number_.erase(it->number);
    std::erase(by_service_[it->entry.service], it);
}

void upstream_directory::set_evacuated(const std::string& failure_domain, bool evacuated, millis warm_up,
                                       instant now) {
    if (evacuated) {
        evacuated_.insert(failure_domain);
        return;
    }
    if (evacuated_.erase(failure_domain) == 0) {
        return;
    }
    for (const auto& [id, it] : by_id_) {
        if (it->entry.failure_domain == failure_domain) {
            set_cold(*it, warm_up, now);
        }
    }
}

void upstream_directory::set_cold(upstream& it, millis remaining, instant when) {
    it.cold_until = when + remaining;
    it.cold_updated_at = when;
    it.unverified = false;
}

void upstream_directory::set_unverified(upstream& it, millis warm_up, instant now) {
    set_cold(it, std::max(warm_up, it.cold_until - now), now);
    it.unverified = true;
}

bool upstream_directory::usable(const upstream& it) const {
    return !it.leaving && !evacuated(it.entry.failure_domain);
}

bool upstream_directory::evacuated(std::string_view failure_domain) const {
    return !evacuated_.empty() && evacuated_.contains(key(failure_domain));
}

const std::vector<upstream_ptr>& upstream_directory::of_service(std::string_view service) const {
    static const std::vector<upstream_ptr> none;
    const auto it = by_service_.find(key(service));
    return it == by_service_.end() ? none : it->second;
}

upstream_ptr upstream_directory::find(std::string_view id) const {
    const auto it = by_id_.find(key(id));
    return it == by_id_.end() ? nullptr : it->second;
}

upstream_ptr upstream_directory::find(std::uint32_t number) const {
    const auto it = by_number_.find(number);
    return it == by_number_.end() ? nullptr : it->second;
}

} // namespace berylcrank
