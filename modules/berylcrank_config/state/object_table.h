#pragma once

#include "modules/berylcrank_config/state/coverage.h"
#include "modules/berylcrank_config/state/object_entry.h"

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include <utility>
#include <vector>

namespace berylcrank {

/** Objects of a configuration state with their digest and the references between them. */
class object_table {
public:
    using map_type = absl::flat_hash_map<object_key, object_entry>;

    /** The entry of an object, also if it is removed; null if there is none. */
    [[nodiscard]] const object_entry* find(const object_key& key) const;

    /** True if the object exists and is not removed. */
    [[nodiscard]] bool exists(const object_key& key) const;

    /** Number of upstreams that name a service or failure domain. */
    [[nodiscard]] std::uint32_t references_to(const object_key& key) const;

    /** Sets an entry, whatever was there. */
    void put(const object_key& key, object_entry entry);

    /** Drops an entry. */
    void erase(const object_key& key);

    /** Drops removals by tickets up to `floor`; returns one past the largest offset dropped, or 0. */
    std::uint64_t drop_removals(std::uint64_t floor);

    /** Takes over the newer entries of `other`, and drops what one side has certainly seen replaced. */
    void merge(const object_table& other, const coverage& own_coverage, const coverage& other_coverage);

    /** Order-independent hash over all entries, kept up to date with each change. */
    [[nodiscard]] std::uint64_t digest() const { return digest_; }

    [[nodiscard]] const map_type& entries() const { return entries_; }

    /** Objects changed since the last call. */
    std::vector<object_key> take_changed() { return std::exchange(changed_, {}); }

private:
    void count_references(const object_entry& entry, bool add);
    void forget(const object_key& key, const object_entry& entry);

    map_type entries_;
    absl::flat_hash_map<object_key, std::uint32_t> references_;
    absl::btree_set<std::pair<std::uint64_t, object_key>> removals_;
    std::uint64_t digest_{0};
    std::vector<object_key> changed_;
};

} // namespace berylcrank
