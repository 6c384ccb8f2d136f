#pragma once

#include "modules/berylcrank_balance/catalog/state_record.h"
#include "modules/berylcrank_core/time/instant.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <span>
#include <vector>

namespace berylcrank {

/** The newest record of each key of one source, merged by offset from the store and from other nodes, in any
    order and any number of times.

    `end` is the offset up to which the book is complete. `confirmed` is the moment for which somebody who
   read the store vouches that `end` was the store's own end.
*/
class record_table {
public:
    /** Takes a record that replaces what the book held; returns whether it changed what the node believes.
       Upstreams write again and again only to show that they live. */
    using change_handler = std::function<bool(const state_record&)>;

    /** `changed` is called for each record that replaces what the book held. */
    explicit record_table(change_handler changed) : changed_(std::move(changed)) {}

    /** Merges a run of records that begins at or before `end` and makes the book complete up to `end`. */
    void merge(std::span<const state_record> records, std::uint64_t end, instant confirmed);

    /** Merges the whole content of the store: keys that it lacks and that are older than `end` were removed.
     */
    void merge_snapshot(std::span<const state_record> records, std::uint64_t end, instant confirmed);

    /** Notes that the store's end was `end` at the moment `when`. */
    void confirm(std::uint64_t end, instant when);

    /** Whether a first state was merged. */
    [[nodiscard]] bool complete() const { return complete_; }
    [[nodiscard]] std::uint64_t end() const { return end_; }
    [[nodiscard]] instant confirmed() const { return confirmed_; }

    /** Takes another node's word that nothing of meaning lies between `changed` and `end`. Returns false if
       this book lacks records before `changed`. */
    bool extend(std::uint64_t changed, std::uint64_t end, instant confirmed);

    /** Offset behind the last record that changed what the node believes. */
    [[nodiscard]] std::uint64_t changed() const { return changed_end_; }

    /** The records whose meaning changed at offset `from` or later, removals too. */
    [[nodiscard]] std::vector<state_record> since(std::uint64_t from) const;

private:
    struct held_record {
        state_record record;
        std::uint64_t changed_at{0}; // offset at which its meaning changed last
    };

    void merge_one(const state_record& it);

    change_handler changed_;
    absl::flat_hash_map<std::string, held_record> records_;
    std::uint64_t changed_end_{0};
    bool complete_{false};
    std::uint64_t end_{0};
    instant confirmed_;
};

} // namespace berylcrank
