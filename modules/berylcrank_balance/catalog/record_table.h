#pragma once

#include "modules/berylcrank_balance/catalog/state_record.h"
#include "modules/berylcrank_core/time/instant.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <functional>
#include <span>
#include <vector>

namespace berylcrank {

/** What is known of a store in a new epoch. */
struct epoch_start {
    std::uint64_t epoch{0};
    std::uint64_t end{0};          ///< Offset up to which the records are complete.
    std::uint64_t restored_end{0}; ///< Records from this offset on were written after the restore. Others may
                                   ///< be part of the backup.
};

/** The newest record of each key of one source. Records come from the store and from other nodes, in any
    order and any number of times, and are merged by position. A superseded record takes over the position but
    not the content, so that other nodes are told what is in force.

    `end` is the offset up to which the table is complete. `confirmed` is the latest time at which a node that
    read the store found that `end` was the end of the store.
    @see state_record
*/
class record_table {
public:
    /** Called for each record that is newer in the store than the stored one. Returns what it does to the
        node's view. */
    using change_handler = std::function<record_effect(const state_record&)>;

    /** Returns whether a known record stays in place of the record that a restored store holds for its key,
        which is marked as removed if there is none. */
    using keep_handler = std::function<bool(const state_record& known, const state_record& restored)>;

    explicit record_table(change_handler changed, keep_handler keeps = {})
        : changed_(std::move(changed)), keeps_(std::move(keeps)) {}

    /** Merges consecutive records that start at or before the table's end; the table is then complete up to
        `end`. The store's end was `end` at the time `confirmed`. Of keys that a complete table does not
        contain, records before its end are ignored: their keys have been removed since. */
    void merge(std::span<const state_record> records, std::uint64_t end, instant confirmed);

    /** Merges the whole content of the store. Keys that it does not contain count as removed, except those
        with a record at `end` or later. */
    void merge_snapshot(std::span<const state_record> records, std::uint64_t end, instant confirmed);

    /** Merges the whole content of a store in a newer epoch. It replaces the known records except those that
        the keep_handler keeps. Keys that it does not contain count as removed. Offsets of older epochs are
        invalid from then on. `records` may contain records that another node has kept. */
    void begin_epoch(const epoch_start& start, std::span<const state_record> records, instant confirmed);

    /** Returns the smallest known offset from which on records were written after the last restore. */
    [[nodiscard]] std::uint64_t restored_end() const { return restored_end_; }
    /** Lowers `restored_end` to what another node knows of the same epoch. */
    void lower_restored_end(std::uint64_t offset) { restored_end_ = std::min(restored_end_, offset); }

    /** Returns the epoch of the store in which `end` is valid. */
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

    /** Records that the end of the store was `end` at the time `when`. Ignored unless the table is complete
        up to `end`. */
    void confirm(std::uint64_t end, instant when);

    /** Returns whether the table has merged a first state. */
    [[nodiscard]] bool complete() const { return complete_; }
    /** Returns the offset up to which the table is complete. */
    [[nodiscard]] std::uint64_t end() const { return end_; }
    /** Returns the latest time at which the table was known to reach the end of the store. */
    [[nodiscard]] instant confirmed() const { return confirmed_; }

    /** Extends the table to `end`, based on another node's report that no record in between changes the view.
        `changed` is that node's last change. Returns false if this table lacks records before `changed`. */
    bool extend(std::uint64_t changed, std::uint64_t end, instant confirmed);

    /** Offset after the last record that changed the node's view. */
    [[nodiscard]] std::uint64_t changed() const { return changed_end_; }

    /** Returns the records whose last change is at offset `from` or later, including removals, sorted by
        offset. */
    [[nodiscard]] std::vector<state_record> since(std::uint64_t from) const;

private:
    struct stored_record {
        state_record record;
        std::uint64_t changed_at{0}; // offset of the last record that changed the view
    };

    void merge_record(const state_record& it);
    [[nodiscard]] bool keeps(const state_record& restored) const;

    change_handler changed_;
    keep_handler keeps_;
    std::uint64_t epoch_{0};
    std::uint64_t restored_end_{0};
    absl::flat_hash_map<std::string, stored_record> records_;
    std::uint64_t changed_end_{0};
    bool complete_{false};
    std::uint64_t end_{0};
    instant confirmed_;
};

} // namespace berylcrank
