#include "modules/berylcrank_routing/cold/upstream_warm_state.h"

#include <algorithm>

namespace berylcrank {

namespace {
constexpr std::size_t max_incarnations = 4; // Usually there is one; two around a restart.
}

bool upstream_warm_state::has_idle_verified() const {
    std::size_t idle = 0;
    for (const auto& [port, it] : connections_) {
        idle += !it.is_busy && !it.may_be_closed && is_bound_to_warm(it) ? 1 : 0;
    }
    return idle > reserved_;
}

upstream_warm_state::connection_id upstream_warm_state::use_port(std::uint16_t port, bool is_new,
                                                                 bool had_reservation) {
    if (is_new) {
        // The port may have been used by a connection to an earlier process.
        connections_.erase(port);
    }
    if (is_new && had_reservation) {
        // The pool closes idle connections without a notification.
        for (auto& [other_port, other] : connections_) {
            other.may_be_closed = other.may_be_closed || !other.is_busy;
        }
    }
    auto& opened = connections_[port];
    if (opened.serial == 0) {
        opened.serial = ++last_serial_;
    }
    opened.may_be_closed = false;
    return {port, opened.serial};
}

bool upstream_warm_state::is_verified(const connection_id& id) const {
    const auto it = connections_.find(id.port);
    return it != connections_.end() && it->second.serial == id.serial && is_bound_to_warm(it->second);
}

void upstream_warm_state::set_busy(const connection_id& id, bool is_busy) {
    if (auto* entry = find(id)) {
        entry->is_busy = is_busy;
    }
}

void upstream_warm_state::set_incarnation(const connection_id& id, std::string_view upstream_incarnation,
                                          bool reported_cold) {
    if (upstream_incarnation.empty()) {
        return;
    }
    find_or_add(upstream_incarnation).reported_cold = reported_cold;
    latest_incarnation_ = upstream_incarnation;
    if (auto* entry = find(id)) {
        entry->is_mixed = entry->is_mixed || (!entry->upstream_incarnation.empty() &&
                                              entry->upstream_incarnation != upstream_incarnation);
        entry->upstream_incarnation = upstream_incarnation;
    }
}

void upstream_warm_state::close(const connection_id& id) {
    if (find(id) != nullptr) {
        connections_.erase(id.port);
    }
}

upstream_warm_state::connection* upstream_warm_state::find(const connection_id& id) {
    const auto it = connections_.find(id.port);
    return it == connections_.end() || it->second.serial != id.serial ? nullptr : &it->second;
}

bool upstream_warm_state::apply(const warm_report& report, instant now) {
    if (report.upstream_incarnation.empty()) {
        return false;
    }
    auto& known = find_or_add(report.upstream_incarnation);
    if (known.holder == report.holder && report.sequence <= known.sequence) {
        return false;
    }
    known.warm = report.warm;
    known.sequence = report.sequence;
    known.holder = report.holder;
    if (!latest_report_ || latest_report_->holder != report.holder ||
        latest_report_->sequence < report.sequence) {
        latest_report_ = report;
        latest_report_at_ = now;
    }
    return true;
}

bool upstream_warm_state::is_warm(std::string_view upstream_incarnation) const {
    const auto* it = find(upstream_incarnation);
    return it != nullptr && it->warm && !it->reported_cold;
}

std::optional<warm_report> upstream_warm_state::latest_report() const {
    return latest_report_;
}

std::vector<std::string> upstream_warm_state::warm_incarnations() const {
    std::vector<std::string> result;
    for (const auto& state : incarnations_) {
        if (state.warm && !state.reported_cold) {
            result.push_back(state.upstream_incarnation);
        }
    }
    return result;
}

std::size_t upstream_warm_state::verified_connections() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [&](const auto& it) { return is_bound_to_warm(it.second); }));
}

const upstream_warm_state::incarnation_state*
upstream_warm_state::find(std::string_view upstream_incarnation) const {
    const auto it =
        std::ranges::find(incarnations_, upstream_incarnation, &incarnation_state::upstream_incarnation);
    return it == incarnations_.end() ? nullptr : &*it;
}

upstream_warm_state::incarnation_state&
upstream_warm_state::find_or_add(std::string_view upstream_incarnation) {
    const auto it =
        std::ranges::find(incarnations_, upstream_incarnation, &incarnation_state::upstream_incarnation);
    if (it != incarnations_.end()) {
        return *it;
    }
    if (incarnations_.size() == max_incarnations) {
        incarnations_.erase(incarnations_.front().upstream_incarnation == latest_incarnation_
                                ? incarnations_.begin() + 1
                                : incarnations_.begin());
    }
    return incarnations_.emplace_back(
        incarnation_state{.upstream_incarnation = std::string(upstream_incarnation)});
}

bool upstream_warm_state::is_bound_to_warm(const connection& entry) const {
    return !entry.is_mixed && !entry.upstream_incarnation.empty() && is_warm(entry.upstream_incarnation);
}

} // namespace berylcrank
