#include "modules/berylcrank_balance/peers/peer_table.h"

#include <algorithm>
#include <array>
#include <xxhash.h>

namespace berylcrank {

namespace {

std::uint64_t rendezvous_weight(std::uint64_t number, std::uint64_t key) {
    const std::array<std::uint64_t, 2> pair{number, key};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

// Returns until when a node may admit to cold upstreams after a message that states whether it is ready.
instant admits_until(const peer& it, bool ready, instant now) {
    return ready ? now + peer_table::cell_timeout : std::min(it.admits_until, now);
}

} // namespace

std::uint64_t node_number(const node_info& it) {
    const auto text = it.name + '/' + it.ip;
    return XXH3_64bits(text.data(), text.size());
}

peer_table::peer_table(node_info self) : self_(std::move(self)), self_number_(node_number(self_)) {
    rebuild_cells();
}

void peer_table::set_ready(bool ready, instant now) {
    if (ready && !ready_) {
        ready_since_ = now;
    }
    ready_ = ready;
}

bool peer_table::learn(const node_info& it, instant now) {
    const auto number = node_number(it);
    if (number == self_number_ || peers_.contains(number)) {
        return false;
    }
    peers_[number] = {.info = it, .number = number, .added = now};
    rebuild_cells();
    return true;
}

bool peer_table::on_hello(const node_info& it, const roster_entry& state, instant now) {
    const auto number = node_number(it);
    if (number == self_number_) {
        return false;
    }
    auto& stored = peers_[number];
    const bool is_new_start = !stored.has_heartbeat || stored.info.incarnation != it.incarnation;
    if (const auto found = unidentified_.find(number); found != unidentified_.end()) {
        stored.admits_until = std::max(stored.admits_until, found->second);
        unidentified_.erase(found);
    }
    const bool moved = stored.info.failure_domain != it.failure_domain || stored.number == 0;
    stored = {.info = it,
              .number = number,
              .added = stored.added,
              .last_heartbeat = now,
              .beat = state.beat,
              .ready = state.ready,
              .blind = state.blind,
              .admits_until = admits_until(stored, state.ready, now),
              .has_heartbeat = true,
              .relation = stored.relation};
    if (moved) {
        rebuild_cells();
    }
    return is_new_start;
}

bool peer_table::on_heartbeat(const roster_entry& it, instant now) {
    const auto found = peers_.find(it.number);
    if (found == peers_.end() || found->second.info.incarnation != it.incarnation) {
        on_unidentified(it, now);
        return false;
    }
    auto& stored = found->second;
    stored.admits_until = admits_until(stored, it.ready, now);
    stored.last_heartbeat = now;
    stored.has_heartbeat = true;
    stored.ready = it.ready;
    stored.blind = it.blind;
    stored.beat = it.beat;
    return true;
}

void peer_table::on_unidentified(const roster_entry& it, instant now) {
    const auto found = unidentified_.find(it.number);
    if (found != unidentified_.end()) {
        found->second = it.ready ? now + cell_timeout : std::min(found->second, now);
    } else if (it.ready && it.number != self_number_ && unidentified_.size() < max_unidentified) {
        unidentified_[it.number] = now + cell_timeout;
    }
}

bool peer_table::merge_roster(const std::vector<roster_entry>& roster, instant now) {
    bool has_unknown = false;
    for (const auto& it : roster) {
        const auto found = peers_.find(it.number);
        if (found == peers_.end()) {
            has_unknown = has_unknown || it.number != self_number_;
            continue; // a roster does not contain addresses
        }
        if (it.incarnation < found->second.info.incarnation) {
            continue;
        }
        auto& stored = found->second;
        if (it.incarnation > stored.info.incarnation || it.beat > stored.beat) {
            stored.info.incarnation = it.incarnation;
            on_heartbeat(it, now);
        }
    }
    return has_unknown;
}

std::vector<roster_entry> peer_table::roster(bool local, random_source& random, instant now) const {
    auto nodes = live(now);
    const auto readers = std::min(nodes.size(), roster_readers);
    std::partial_sort(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(readers), nodes.end(),
                      [](const auto* a, const auto* b) {
                          return a->info.capacity != b->info.capacity ? a->info.capacity > b->info.capacity
                                                                      : a->number < b->number;
                      });
    std::vector<const peer*> others(nodes.begin() + static_cast<std::ptrdiff_t>(readers), nodes.end());
    nodes.resize(readers);
    if (local) {
        std::erase_if(others, [](const auto* it) { return it->relation != peer_relation::distant; });
    }
    for (std::size_t i = 0; i < std::min(others.size(), roster_others); ++i) {
        std::swap(others[i], others[i + random.below(others.size() - i)]);
        nodes.push_back(others[i]);
    }
    std::vector<roster_entry> result;
    result.reserve(nodes.size());
    for (const auto* it : nodes) {
        result.push_back({.number = it->number,
                          .incarnation = it->info.incarnation,
                          .beat = it->beat,
                          .ready = it->ready,
                          .blind = it->blind});
    }
    return result;
}

std::size_t peer_table::registered_count(instant now) const {
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [now](const auto& it) {
        return it.second.info.registered && is_live(it.second, now);
    }));
}

std::size_t peer_table::unregistered_rank(instant now) const {
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& it) {
        return !it.second.info.registered && is_live(it.second, now) && precedes(it.second);
    }));
}

std::vector<std::uint64_t> peer_table::expire(instant now) {
    std::vector<std::uint64_t> newly_silent;
    std::vector<std::uint64_t> removed;
    for (const auto& [number, it] : peers_) {
        const bool live = is_live(it, now);
        if (live) {
            was_live_.insert(number);
        } else if (was_live_.erase(number) > 0) {
            newly_silent.push_back(number);
        }
        if ((!it.has_heartbeat && now - it.added > join_timeout) ||
            (it.has_heartbeat && now - it.last_heartbeat > removal_timeout)) {
            removed.push_back(number);
        }
    }
    for (const auto number : removed) {
        peers_.erase(number);
    }
    if (!removed.empty()) {
        rebuild_cells();
    }
    absl::erase_if(unidentified_, [now](const auto& it) { return it.second + handover_time <= now; });
    max_known_count_ = std::max(max_known_count_, peers_.size() + 1);
    return newly_silent;
}

void peer_table::rebuild_cells() {
    node_counts_.clear();
    ++node_counts_[self_.failure_domain];
    for (const auto& [number, it] : peers_) {
        ++node_counts_[it.info.failure_domain];
    }
    own_cell_ = cell_of(self_, self_number_);
    cell_peers_.clear();
    for (auto& [number, it] : peers_) {
        if (cell_of(it.info, number) == own_cell_) {
            it.relation = peer_relation::same_cell;
            cell_peers_.push_back(number);
        } else {
            it.relation = it.info.failure_domain == self_.failure_domain ? peer_relation::same_domain
                                                                         : peer_relation::distant;
        }
    }
}

std::uint32_t peer_table::cell_count_in(const std::string& failure_domain) const {
    const auto it = node_counts_.find(failure_domain);
    const auto n = it == node_counts_.end() ? 0 : it->second;
    return static_cast<std::uint32_t>(std::max<std::size_t>(1, (n + cell_size / 2) / cell_size));
}

cell peer_table::cell_of(const node_info& it, std::uint64_t number) const {
    if (!has_multiple_cells()) {
        return {};
    }
    return {.failure_domain = it.failure_domain,
            .index = static_cast<std::uint32_t>(number % cell_count_in(it.failure_domain))};
}

cell peer_table::home_cell(std::uint32_t upstream, const std::string& failure_domain) const {
    if (!has_multiple_cells()) {
        return {};
    }
    const std::string* domain = node_counts_.contains(failure_domain) ? &failure_domain : nullptr;
    if (domain == nullptr) { // no node in that domain: another failure domain is responsible
        std::uint64_t best = 0;
        for (const auto& [name, n] : node_counts_) {
            const auto w = rendezvous_weight(XXH3_64bits(name.data(), name.size()), upstream);
            if (domain == nullptr || w > best) {
                domain = &name;
                best = w;
            }
        }
    }
    return {.failure_domain = *domain, .index = upstream % cell_count_in(*domain)};
}

bool peer_table::is_home_cell(std::uint32_t upstream, const std::string& failure_domain) const {
    if (has_multiple_cells() && node_counts_.contains(failure_domain)) {
        return failure_domain == own_cell_.failure_domain &&
               upstream % cell_count_in(failure_domain) == own_cell_.index;
    }
    return home_cell(upstream, failure_domain) == own_cell_;
}

std::size_t peer_table::cell_count() const {
    if (!has_multiple_cells()) {
        return 1;
    }
    std::size_t n = 0;
    for (const auto& [domain, nodes] : node_counts_) {
        n += cell_count_in(domain);
    }
    return n;
}

bool peer_table::is_live(const peer& it, instant now) {
    if (!it.has_heartbeat) {
        return false;
    }
    switch (it.relation) {
    case peer_relation::same_cell:
        return now - it.last_heartbeat < cell_timeout;
    case peer_relation::same_domain:
        return now - it.last_heartbeat < domain_timeout;
    case peer_relation::distant:
        return now - it.last_heartbeat < distant_timeout;
    }
    return false;
}

const peer* peer_table::find(std::uint64_t number) const {
    const auto it = peers_.find(number);
    return it == peers_.end() ? nullptr : &it->second;
}

bool peer_table::has_live(instant now) const {
    return std::any_of(peers_.begin(), peers_.end(),
                       [now](const auto& it) { return is_live(it.second, now); });
}

std::vector<const peer*> peer_table::live(instant now) const {
    std::vector<const peer*> result;
    for (const auto& [number, it] : peers_) {
        if (is_live(it, now)) {
            result.push_back(&it);
        }
    }
    return result;
}

std::vector<const peer*> peer_table::all() const {
    std::vector<const peer*> result;
    for (const auto& [number, it] : peers_) {
        result.push_back(&it);
    }
    return result;
}

bool peer_table::precedes(const peer& it) const {
    return it.info.capacity != self_.capacity ? it.info.capacity > self_.capacity : it.number < self_number_;
}

std::size_t peer_table::reader_rank(bool blind, instant now) const {
    return static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& it) {
        return is_live(it.second, now) &&
               (blind ? precedes(it.second) || !it.second.blind : precedes(it.second) && !it.second.blind);
    }));
}

std::size_t peer_table::cell_peer_count() const {
    return cell_peers_.size();
}

std::size_t peer_table::rank_among_known() const {
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& it) { return precedes(it.second); }));
}

std::size_t peer_table::rank_in_cell(instant now) const {
    return static_cast<std::size_t>(std::count_if(cell_peers_.begin(), cell_peers_.end(), [&](auto number) {
        const auto& it = peers_.at(number);
        return is_live(it, now) && precedes(it);
    }));
}

bool peer_table::owns(std::uint64_t key, instant now) const {
    const auto own = rendezvous_weight(self_number_, key);
    return std::none_of(cell_peers_.begin(), cell_peers_.end(), [&](auto number) {
        if (rendezvous_weight(number, key) <= own) {
            return false;
        }
        const auto& it = peers_.at(number);
        return it.ready && is_live(it, now);
    });
}

bool peer_table::admits(std::uint64_t key, instant now) const {
    if (!ready_ || now < ready_since_ + handover_time) {
        return false;
    }
    const auto own = rendezvous_weight(self_number_, key);
    const auto may_have_admitted = [&](std::uint64_t number, instant until) {
        return rendezvous_weight(number, key) > own && now < until + handover_time;
    };
    return std::none_of(
               cell_peers_.begin(), cell_peers_.end(),
               [&](auto number) { return may_have_admitted(number, peers_.at(number).admits_until); }) &&
           std::none_of(unidentified_.begin(), unidentified_.end(),
                        [&](const auto& it) { return may_have_admitted(it.first, it.second); });
}

} // namespace berylcrank
