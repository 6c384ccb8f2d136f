#include "modules/berylcrank_config/state/object_table.h"

#include "modules/berylcrank_config/ticket/canonical_bytes.h"
#include "modules/berylcrank_config/ticket/object_digest.h"

#include <algorithm>

namespace berylcrank {

namespace {

std::uint64_t hash_of(const object_entry& entry) {
    return canonical_bytes().add(entry.number).add(entry.offset).add(entry.digest).digest();
}

} // namespace

object_entry make_entry(service_config service, std::uint64_t number, std::uint64_t offset) {
    const auto digest = digest_of(service);
    return {number, offset, digest, std::make_shared<const service_config>(std::move(service))};
}

object_entry make_entry(failure_domain_config domain, std::uint64_t number, std::uint64_t offset) {
    const auto digest = digest_of(domain);
    return {number, offset, digest, std::make_shared<const failure_domain_config>(std::move(domain))};
}

object_entry make_entry(upstream_config upstream, std::uint64_t number, std::uint64_t offset) {
    const auto digest = digest_of(upstream);
    return {number, offset, digest, std::make_shared<const upstream_config>(std::move(upstream))};
}

object_entry make_removal(const object_key& key, std::uint64_t number, std::uint64_t offset) {
    return {number, offset, digest_of_removal(key), {}};
}

const object_entry* object_table::find(const object_key& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second;
}

bool object_table::exists(const object_key& key) const {
    const auto* entry = find(key);
    return entry != nullptr && !entry->is_removal();
}

std::uint32_t object_table::references_to(const object_key& key) const {
    const auto it = references_.find(key);
    return it == references_.end() ? 0 : it->second;
}

void object_table::put(const object_key& key, object_entry entry) {
    auto& slot = entries_[key];
    if (slot.number != 0) {
        remove_from_indexes(key, slot);
    }
    digest_ += hash_of(entry);
    count_references(entry, true);
    if (entry.is_removal()) {
        removals_.emplace(entry.number, key);
    }
    slot = std::move(entry);
    changed_.push_back(key);
}

void object_table::erase(const object_key& key) {
    const auto it = entries_.find(key);
    if (it != entries_.end()) {
        remove_from_indexes(key, it->second);
        entries_.erase(it);
        changed_.push_back(key);
    }
}

std::uint64_t object_table::drop_removals(std::uint64_t floor) {
    std::uint64_t end = 0;
    while (!removals_.empty() && removals_.begin()->first <= floor) {
        const auto key = removals_.begin()->second;
        end = std::max(end, entries_.at(key).offset + 1);
        erase(key);
    }
    return end;
}

void object_table::merge(const object_table& other, const coverage& own_coverage,
                         const coverage& other_coverage) {
    std::vector<object_key> replaced;
    for (const auto& [key, entry] : entries_) {
        if (other.find(key) == nullptr && !survives<object_entry>(entry, nullptr, other_coverage)) {
            replaced.push_back(key);
        }
    }
    for (const auto& [key, entry] : other.entries_) {
        const auto* own = find(key);
        if (own == nullptr) {
            if (survives<object_entry>(entry, nullptr, own_coverage)) {
                put(key, entry);
            }
            continue;
        }
        const bool own_survives = survives(*own, &entry, other_coverage);
        const bool other_survives = survives(entry, own, own_coverage);
        if (own_survives == other_survives ? entry.is_newer_than(*own) : other_survives) {
            put(key, entry);
        }
    }
    for (const auto& key : replaced) {
        erase(key);
    }
}

void object_table::count_references(const object_entry& entry, bool add) {
    const auto* upstream = std::get_if<upstream_ptr>(&entry.content);
    if (upstream == nullptr) {
        return;
    }
    for (const auto& key : {object_key{object_kind::service, (*upstream)->service},
                            object_key{object_kind::failure_domain, (*upstream)->failure_domain}}) {
        if (add) {
            ++references_[key];
        } else if (const auto it = references_.find(key); it != references_.end() && --it->second == 0) {
            references_.erase(it);
        }
    }
}

void object_table::remove_from_indexes(const object_key& key, const object_entry& entry) {
    digest_ -= hash_of(entry);
    count_references(entry, false);
    if (entry.is_removal()) {
        removals_.erase({entry.number, key});
    }
}

} // namespace berylcrank
