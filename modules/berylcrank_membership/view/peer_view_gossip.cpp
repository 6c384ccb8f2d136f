// Implementation of the peer_view functions that read and build gossip messages.
#include "modules/berylcrank_membership/view/peer_view.h"

#include <algorithm>

namespace berylcrank {

namespace {

// One of this many entries without a recent change includes the addresses.
constexpr std::uint64_t full_entry_interval = 8;

bool same_details(const peer_info& a, const peer_info& b) {
    return a.http_address == b.http_address && a.rpc_address == b.rpc_address &&
           a.failure_domain == b.failure_domain;
}

/** Moves `count` randomly chosen elements to the front. */
template <typename T>
void shuffle_front(std::vector<T>& all, std::size_t count, random_source& random) {
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(all[i], all[i + random.below(all.size() - i)]);
    }
}

} // namespace

void peer_view::merge_sender(const peer_info& it, instant at, bool is_response, std::string_view address) {
    if (!it.run.is_set() || it.vm.empty() || it.run == options_.self.run || it.vm == options_.self.vm) {
        return;
    }
    if (const auto ended = ended_.find(it.run); ended != ended_.end()) {
        if (!is_response || at <= ended->second.at) {
            return;
        }
        ended_.erase(ended); // The run responded to a call that was made after it was marked as ended.
    }
    const auto [found, is_new] = peers_.try_emplace(it.vm);
    auto& peer = found->second;
    if (is_new) {
        peer.first_seen = at;
    }
    if (peer.info.run != it.run) {
        set_run(peer, it, at);
    }
    update_info(peer, it, at);
    peer.is_gone = false;
    peer.record_heartbeat(at);
    if (is_response && peer.previous_run.is_set() && peer.previous_address == address) {
        end_run(peer.previous_run, at, true); // Another run responds at its address.
        peer.previous_run = {};
    }
}

void peer_view::merge_entries(const gossip_message& it, instant now) {
    for (const auto& entry : it.peers) {
        if (!entry.run.is_set() || entry.run == options_.self.run || entry.vm == options_.self.vm ||
            !entry.heartbeat_age || ended_.contains(entry.run)) {
            continue;
        }
        if (*entry.heartbeat_age < options_.silence_timeout) {
            merge_indirect(entry, now - *entry.heartbeat_age, now);
            continue;
        }
        const auto vm = vm_of_.find(entry.run);
        const auto peer = vm == vm_of_.end() ? peers_.end() : peers_.find(vm->second);
        if (peer != peers_.end() && peer->second.info.run == entry.run) {
            peer->second.add_silence_report(it.sender.run, now);
        }
    }
}

void peer_view::merge_indirect(const peer_info& it, instant at, instant now) {
    const auto known = vm_of_.find(it.run);
    if (it.vm.empty() && known == vm_of_.end()) {
        return; // A short entry of a run that is not known yet. A full entry will follow.
    }
    const auto& vm = it.vm.empty() ? known->second : it.vm;
    const auto [found, is_new] = peers_.try_emplace(vm);
    auto& peer = found->second;
    if (is_new) {
        peer.first_seen = now;
    }
    if (peer.info.run != it.run) {
        if (it.vm.empty() || (peer.info.run.is_set() && peer.last_heartbeat && at <= *peer.last_heartbeat)) {
            return; // The entry is about an earlier run on that vm.
        }
        set_run(peer, it, at);
        peer.is_gone = false;
    }
    if (it.vm.empty()) {
        peer.info.leaving = peer.info.leaving || it.leaving;
        peer.info.starting = peer.info.starting && it.starting;
    } else {
        update_info(peer, it, now);
    }
    peer.record_heartbeat(at);
}

void peer_view::set_run(peer_record& peer, const peer_info& it, instant at) {
    const auto old_run = peer.info.run;
    if (old_run.is_set()) {
        const bool was_ended = ended_.contains(old_run);
        end_run(old_run, at, false);
        if (!was_ended || !ended_[old_run].is_proven) {
            peer.previous_run = old_run;
            peer.previous_address = peer.info.rpc_address;
        }
    }
    peer.info = it;
    peer.info.heartbeat_age.reset();
    peer.last_heartbeat.reset();
    peer.changed_at = at;
    vm_of_[it.run] = it.vm;
}

void peer_view::update_info(peer_record& peer, const peer_info& it, instant at) {
    const bool is_leaving = peer.info.leaving || it.leaving;    // A leaving run never returns.
    const bool is_starting = peer.info.starting && it.starting; // A run that was ready never starts again.
    if (!same_details(peer.info, it) || is_leaving != peer.info.leaving ||
        is_starting != peer.info.starting) {
        peer.changed_at = at;
    }
    peer.info = it;
    peer.info.leaving = is_leaving;
    peer.info.starting = is_starting;
    peer.info.heartbeat_age.reset();
}

void peer_view::end_run(incarnation run, instant now, bool is_proven) {
    const auto [it, is_new] = ended_.try_emplace(run, ended_run{now, is_proven});
    if (!is_new) {
        it->second.at = std::max(it->second.at, now);
        it->second.is_proven = it->second.is_proven || is_proven;
        return;
    }
    vm_of_.erase(run);
    ended_order_.push_back(run);
    if (ended_order_.size() > options_.max_ended_runs) {
        ended_.erase(ended_order_.front());
        ended_order_.pop_front();
    }
}

gossip_message peer_view::make_message(random_source& random, instant now) const {
    const lock_guard lock(mutex_);
    gossip_message out;
    out.sender = options_.self;
    out.sender.leaving = is_leaving_;
    out.sender.starting = is_starting_;
    out.sender.heartbeat_age = millis{0};
    std::vector<const peer_record*> urgent;
    std::vector<const peer_record*> other;
    for (const auto& [vm, peer] : peers_) {
        if (!peer.info.run.is_set()) {
            continue;
        }
        if (peer.is_gone) {
            // Reported as silent: other nodes do not accept this node's proof but count it as an observer.
            if (now - peer.gone_at < options_.change_retention) {
                urgent.push_back(&peer);
            }
            continue;
        }
        const bool is_recent = peer.last_heartbeat && now - *peer.last_heartbeat < options_.silence_timeout;
        if (is_recent) {
            (now - peer.changed_at < options_.change_retention ? urgent : other).push_back(&peer);
        } else if (peer.has_silence_report_from(options_.self.run)) {
            urgent.push_back(&peer); // Reports an old heartbeat only if a call of this node timed out.
        }
    }
    const auto urgent_count =
        std::min(urgent.size(),
                 std::max(options_.entries / 2, options_.entries - std::min(options_.entries, other.size())));
    shuffle_front(urgent, urgent_count, random);
    const auto rest = std::min(other.size(), options_.entries - std::min(urgent_count, options_.entries));
    shuffle_front(other, rest, random);
    for (std::size_t i = 0; i < urgent_count; ++i) {
        out.peers.push_back(make_entry(*urgent[i], random, now));
    }
    for (std::size_t i = 0; i < rest; ++i) {
        out.peers.push_back(make_entry(*other[i], random, now));
    }
    return out;
}

peer_info peer_view::make_entry(const peer_record& it, random_source& random, instant now) const {
    const auto age =
        it.is_gone ? std::max(now - it.last_seen(), options_.silence_timeout) : now - it.last_seen();
    const bool is_full =
        now - it.changed_at < options_.change_retention || random.below(full_entry_interval) == 0;
    if (is_full) {
        auto info = it.info;
        info.heartbeat_age = age;
        return info;
    }
    return {
        .run = it.info.run, .leaving = it.info.leaving, .starting = it.info.starting, .heartbeat_age = age};
}

} // namespace berylcrank
