#include "modules/berylcrank_membership/view/peer_view.h"

#include <algorithm>
#include <functional>

namespace berylcrank {

namespace {

constexpr std::size_t max_responses = 64;
// In a large cluster a node calls far fewer than half of the members within seconds.
constexpr std::size_t sufficient_responders = 8;
constexpr millis delisted_retention{60000}; // A delisted vm is dropped after this time without a heartbeat.

} // namespace

peer_view::peer_view(options it)
    : options_(std::move(it)), is_leaving_(options_.self.leaving), is_starting_(options_.self.starting) {}

void peer_view::apply_vm_list(std::span<const vm_seed> list, instant now) {
    const lock_guard lock(mutex_);
    for (auto& [vm, peer] : peers_) {
        peer.is_delisted = peer.is_delisted || peer.is_listed;
        peer.is_listed = false;
    }
    for (const auto& it : list) {
        if (it.vm == options_.self.vm) {
            continue;
        }
        const auto [found, is_new] = peers_.try_emplace(it.vm);
        auto& peer = found->second;
        if (is_new) {
            peer.first_seen = now;
            peer.info.vm = it.vm;
        }
        if (!peer.info.run.is_set() || peer.is_gone) {
            peer.info.failure_domain = it.failure_domain;
            peer.info.http_address = it.http_address;
            peer.info.rpc_address = it.rpc_address;
        }
        peer.is_listed = true;
        peer.is_delisted = false;
        peer.vm_leaving = it.leaving;
    }
    for (auto it = peers_.begin(); it != peers_.end();) {
        const auto& peer = it->second;
        if (peer.is_delisted && now - peer.last_seen() > delisted_retention) {
            if (peer.info.run.is_set()) {
                end_run(peer.info.run, now, true);
            }
            it = peers_.erase(it);
        } else {
            ++it;
        }
    }
}

void peer_view::become_ready() {
    const lock_guard lock(mutex_);
    is_starting_ = false;
}

void peer_view::leave() {
    const lock_guard lock(mutex_);
    is_leaving_ = true;
}

void peer_view::on_message(const gossip_message& it, instant now) {
    const lock_guard lock(mutex_);
    merge_sender(it.sender, now, false, {});
    merge_entries(it, now);
}

void peer_view::on_response(const gossip_message& it, std::string_view address, instant sent_at,
                            instant now) {
    const lock_guard lock(mutex_);
    merge_sender(it.sender, sent_at, true, address);
    merge_entries(it, now);
    response_record record{.responder = it.sender.run, .sent_at = sent_at, .offset = it.applied_offset};
    if (it.freshness_age) {
        record.log_end_read_at = sent_at - *it.freshness_age;
    }
    responses_.push_back(record);
    if (responses_.size() > max_responses) {
        responses_.pop_front();
    }
}

void peer_view::on_call_timeout(const gossip_target& it, instant sent_at) {
    const lock_guard lock(mutex_);
    const auto found = peers_.find(it.vm);
    if (found != peers_.end() && found->second.info.run == it.run) {
        found->second.add_silence_report(options_.self.run, sent_at);
    }
}

void peer_view::on_refused(const gossip_target& it, instant now) {
    const lock_guard lock(mutex_);
    if (it.run.is_set()) {
        end_run(it.run, now, true);
    }
    const auto found = peers_.find(it.vm);
    if (found == peers_.end()) {
        return;
    }
    auto& peer = found->second;
    if (peer.info.run == it.run) {
        peer.is_gone = true;
        peer.gone_at = now;
    }
    if (peer.previous_run == it.run) {
        peer.previous_run = {};
    }
}

std::vector<gossip_target> peer_view::choose_targets(random_source& random, instant now) const {
    const lock_guard lock(mutex_);
    std::vector<gossip_target> candidates;
    candidates.reserve(peers_.size());
    for (const auto& [vm, peer] : peers_) {
        const bool is_gone_and_unlisted = is_gone(peer, now) && !peer.is_listed;
        if (!is_gone_and_unlisted && !peer.info.rpc_address.empty()) {
            candidates.push_back({vm, peer.info.run, peer.info.rpc_address});
        }
        if (peer.previous_run.is_set() && peer.previous_address != peer.info.rpc_address) {
            candidates.push_back({vm, peer.previous_run, peer.previous_address});
        }
    }
    const auto count = std::min(options_.fan_out, candidates.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(candidates[i], candidates[i + random.below(candidates.size() - i)]);
    }
    candidates.resize(count);
    return candidates;
}

std::optional<peer_state> peer_view::state(incarnation run, instant now) const {
    const lock_guard lock(mutex_);
    if (run == options_.self.run) {
        return is_leaving_ ? peer_state::leaving : peer_state::alive;
    }
    if (ended_.contains(run)) {
        return peer_state::gone;
    }
    const auto vm = vm_of_.find(run);
    if (vm == vm_of_.end()) {
        return std::nullopt;
    }
    const auto it = peers_.find(vm->second);
    return it == peers_.end() ? peer_state::gone : state_of(it->second, needed_observers(now), now);
}

bool peer_view::has_ended(incarnation run, instant now) const {
    const lock_guard lock(mutex_);
    if (const auto it = ended_.find(run); it != ended_.end() && it->second.is_proven) {
        return true;
    }
    const auto vm = vm_of_.find(run);
    const auto it = vm == vm_of_.end() ? peers_.end() : peers_.find(vm->second);
    return it != peers_.end() && it->second.is_delisted &&
           now - it->second.last_seen() >= options_.silence_timeout;
}

std::optional<std::string> peer_view::rpc_address(incarnation run) const {
    const lock_guard lock(mutex_);
    const auto vm = vm_of_.find(run);
    const auto it = vm == vm_of_.end() ? peers_.end() : peers_.find(vm->second);
    if (it == peers_.end() || it->second.info.run != run || it->second.is_gone) {
        return std::nullopt;
    }
    return it->second.info.rpc_address;
}

std::vector<peer_member> peer_view::members(instant now) const {
    const lock_guard lock(mutex_);
    std::vector<peer_member> all;
    all.reserve(peers_.size() + 1);
    const auto needed = needed_observers(now);
    for (const auto& [vm, peer] : peers_) {
        const auto state = state_of(peer, needed, now);
        if (state != peer_state::gone) {
            all.push_back({peer.info, state, false});
            if (peer.last_heartbeat) {
                all.back().info.heartbeat_age = now - *peer.last_heartbeat;
            }
        }
    }
    peer_member self{options_.self, is_leaving_ ? peer_state::leaving : peer_state::alive, true};
    self.info.leaving = is_leaving_;
    self.info.starting = is_starting_;
    const auto at = std::ranges::lower_bound(
        all, self.info.vm, {}, [](const peer_member& it) -> const std::string& { return it.info.vm; });
    all.insert(at, std::move(self));
    return all;
}

double peer_view::recent_heartbeat_fraction(millis within, instant now) const {
    const lock_guard lock(mutex_);
    std::size_t known = 0;
    std::size_t recent = 0;
    for (const auto& [vm, peer] : peers_) {
        if (!is_gone(peer, now)) {
            ++known;
            recent += peer.last_heartbeat && now - *peer.last_heartbeat <= within ? 1 : 0;
        }
    }
    return known == 0 ? 1.0 : static_cast<double>(recent) / static_cast<double>(known);
}

std::optional<instant> peer_view::log_end_confirmed_at(std::uint64_t applied_offset) const {
    const lock_guard lock(mutex_);
    std::optional<instant> best;
    for (const auto& it : responses_) {
        if (it.log_end_read_at && it.offset <= applied_offset && (!best || *it.log_end_read_at > *best)) {
            best = it.log_end_read_at;
        }
    }
    return best;
}

std::optional<instant> peer_view::outage_confirmed_at(std::uint64_t applied_offset, millis within,
                                                      instant now) const {
    const lock_guard lock(mutex_);
    absl::flat_hash_map<incarnation, instant> latest;
    for (const auto& it : responses_) {
        const bool is_fresh = it.log_end_read_at && *it.log_end_read_at >= now - within;
        if (it.sent_at >= now - within) {
            if (is_fresh || it.offset > applied_offset) {
                return std::nullopt;
            }
            auto& sent_at = latest[it.responder];
            sent_at = std::max(sent_at, it.sent_at);
        }
    }
    const auto known = static_cast<std::size_t>(
        std::ranges::count_if(peers_, [&](const auto& it) { return !is_gone(it.second, now); }));
    if (known == 0) {
        return now;
    }
    const auto needed = std::min(sufficient_responders, (known + 1) / 2);
    std::vector<instant> sent_times;
    for (const auto& [run, at] : latest) {
        sent_times.push_back(at);
    }
    std::ranges::sort(sent_times, std::greater<>{});
    return sent_times.size() < needed ? std::nullopt : std::optional(sent_times[needed - 1]);
}

std::size_t peer_view::size() const {
    const lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::ranges::count_if(peers_, [](const auto& it) { return !it.second.is_gone; }));
}

bool peer_view::is_gone(const peer_record& it, instant now) const {
    return it.is_gone || (it.is_delisted && now - it.last_seen() >= options_.silence_timeout);
}

peer_state peer_view::state_of(const peer_record& it, std::size_t needed, instant now) const {
    if (is_gone(it, now)) {
        return peer_state::gone;
    }
    if (it.info.leaving || it.vm_leaving) {
        return peer_state::leaving;
    }
    const bool is_silent = now - it.last_seen() >= options_.silence_timeout;
    // Ignores older silence reports, because their observers may have ended since.
    const auto oldest = now - options_.silence_timeout * 4.0;
    return is_silent && it.count_silence_reports(oldest) >= needed ? peer_state::silent : peer_state::alive;
}

std::size_t peer_view::needed_observers(instant now) const {
    std::size_t alive = 1; // Includes this node.
    for (const auto& [vm, peer] : peers_) {
        if (alive >= options_.observers) {
            break;
        }
        alive += peer.last_heartbeat && now - *peer.last_heartbeat < options_.silence_timeout && !peer.is_gone
                     ? 1
                     : 0;
    }
    return std::min(options_.observers, alive);
}

} // namespace berylcrank
