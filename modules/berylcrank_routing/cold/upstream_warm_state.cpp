#include "modules/berylcrank_routing/cold/upstream_warm_state.h"

#include <algorithm>

namespace berylcrank {

namespace {
constexpr std::size_t max_facts = 4; // Incarnations; one is usual, two around a restart.
}

bool upstream_warm_state::has_idle_verified() const {
    std::size_t idle = 0;
    for (const auto& [port, it] : connections_) {
        idle += !it.is_busy && !it.is_doubtful && is_bound_to_warm(it) ? 1 : 0;
    }
    return idle > planned_;
}

upstream_warm_state::link upstream_warm_state::open(std::uint16_t port, bool is_new, bool was_planned) {
    if (is_new) {
        // The port may have belonged to a connection to an earlier process.
        connections_.erase(port);
    }
    if (is_new && was_planned) {
        // The pool has closed its idle connections without telling.
        for (auto& [other, it] : connections_) {
            it.is_doubtful = it.is_doubtful || !it.is_busy;
        }
    }
    auto& it = connections_[port];
    if (it.serial == 0) {
        it.serial = ++last_serial_;
    }
    it.is_doubtful = false;
    return {port, it.serial};
}

bool upstream_warm_state::is_verified(const link& at) const {
    const auto it = connections_.find(at.port);
    return it != connections_.end() && it->second.serial == at.serial && is_bound_to_warm(it->second);
}

void upstream_warm_state::set_busy(const link& at, bool is_busy) {
    if (auto* it = find(at)) {
        it->is_busy = is_busy;
    }
}

void upstream_warm_state::name(const link& at, std::string_view upstream_incarnation, bool reported_cold) {
    if (upstream_incarnation.empty()) {
        return;
    }
    find_or_add(upstream_incarnation).reported_cold = reported_cold;
    latest_ = upstream_incarnation;
    if (auto* it = find(at)) {
        it->is_mixed = it->is_mixed || (!it->named.empty() && it->named != upstream_incarnation);
        it->named = upstream_incarnation;
    }
}

void upstream_warm_state::close(const link& at) {
    if (find(at) != nullptr) {
        connections_.erase(at.port);
    }
}

upstream_warm_state::connection* upstream_warm_state::find(const link& at) {
    const auto it = connections_.find(at.port);
    return it == connections_.end() || it->second.serial != at.serial ? nullptr : &it->second;
}

bool upstream_warm_state::take(const warm_news& it, instant now) {
    if (it.upstream_incarnation.empty()) {
        return false;
    }
    auto& known = find_or_add(it.upstream_incarnation);
    if (known.holder == it.holder && it.sequence <= known.sequence) {
        return false;
    }
    known.warm = it.warm;
    known.sequence = it.sequence;
    known.holder = it.holder;
    if (!news_ || news_->holder != it.holder || news_->sequence < it.sequence) {
        news_ = it;
        news_at_ = now;
    }
    return true;
}

bool upstream_warm_state::is_warm(std::string_view upstream_incarnation) const {
    const auto* it = find(upstream_incarnation);
    return it != nullptr && it->warm && !it->reported_cold;
}

std::optional<warm_news> upstream_warm_state::news() const {
    return news_;
}

std::vector<std::string> upstream_warm_state::warm_incarnations() const {
    std::vector<std::string> out;
    for (const auto& it : facts_) {
        if (it.warm && !it.reported_cold) {
            out.push_back(it.upstream_incarnation);
        }
    }
    return out;
}

std::size_t upstream_warm_state::verified() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [&](const auto& it) { return is_bound_to_warm(it.second); }));
}

const upstream_warm_state::fact* upstream_warm_state::find(std::string_view upstream_incarnation) const {
    const auto it = std::ranges::find(facts_, upstream_incarnation, &fact::upstream_incarnation);
    return it == facts_.end() ? nullptr : &*it;
}

upstream_warm_state::fact& upstream_warm_state::find_or_add(std::string_view upstream_incarnation) {
    const auto it = std::ranges::find(facts_, upstream_incarnation, &fact::upstream_incarnation);
    if (it != facts_.end()) {
        return *it;
    }
    if (facts_.size() == max_facts) {
        facts_.erase(facts_.front().upstream_incarnation == latest_ ? facts_.begin() + 1 : facts_.begin());
    }
    return facts_.emplace_back(fact{.upstream_incarnation = std::string(upstream_incarnation)});
}

bool upstream_warm_state::is_bound_to_warm(const connection& it) const {
    return !it.is_mixed && !it.named.empty() && is_warm(it.named);
}

} // namespace berylcrank
