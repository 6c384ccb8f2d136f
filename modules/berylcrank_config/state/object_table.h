#pragma once

#include "modules/berylcrank_config/state/coverage.h"
#include "modules/berylcrank_config/state/object_entry.h"

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include <utility>
#include <vector>

namespace berylcrank {

/** Objects of a configuration state, with a digest and reference counts. */
class object_table {
public:
    using map_type = absl::flat_hash_map<object_key, object_entry>;

    /** The entry of an object, including a removed one; null if there is none. */
    [[nodiscard]] const object_entry* find(const object_key& key) const;

    /** True if the object exists and is not removed. */
    [[nodiscard]] bool exists(const object_key& key) const;

    /** Number of upstreams that reference a service or failure domain. */
    [[nodiscard]] std::uint32_t references_to(const object_key& key) const;

    /** Sets an entry, replacing any existing one. */
    void put(const object_key& key, object_entry entry);

    /** Erases an entry without a removal record. */
    void erase(const object_key& key);

    /** Erases the removals of tickets with numbers up to `floor`.
        @returns One past the largest erased offset; 0 if nothing was erased.
    */
    std::uint64_t drop_removals(std::uint64_t floor);

    /** Takes the newer entries of `other` and drops entries that the other side saw replaced. @see survives
     */
    void merge(const object_table& other, const coverage& own_coverage, const coverage& other_coverage);

    /** Order-independent hash of all entries; updated on each change. */
    [[nodiscard]] std::uint64_t digest() const { return digest_; }

    [[nodiscard]] const map_type& entries() const { return entries_; }

    /** Returns the objects changed since the last call. */
    std::vector<object_key> take_changed() { return std::exchange(changed_, {}); }

private:
    void count_references(const object_entry& entry, bool add);
    void remove_from_indexes(const object_key& key, const object_entry& entry);

    map_type entries_;
    absl::flat_hash_map<object_key, std::uint32_t> references_;
    absl::btree_set<std::pair<std::uint64_t, object_key>> removals_;
    std::uint64_t digest_{0};
    std::vector<object_key> changed_;
};

} // namespace berylcrank
