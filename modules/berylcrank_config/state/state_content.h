#pragma once

#include "modules/berylcrank_config/state/coverage.h"
#include "modules/berylcrank_config/state/group_holders.h"
#include "modules/berylcrank_config/state/object_table.h"
#include "modules/berylcrank_config/state/ticket_outcomes.h"

#include <optional>

namespace berylcrank {

/** Number of ticket numbers whose outcomes are kept. At 13,000 tickets a day this covers 7.5 hours. */
inline constexpr std::size_t max_ticket_numbers = 4096;

/** The configuration as a value with a merge operation; also the content of snapshots and peer deltas.

    `merge` is commutative and idempotent, and associative for states without a gap. A state that skipped
    records may have accepted a ticket that other nodes rejected. A merge drops such an entry if the other
    state has no gap up to its record and saw it rejected or replaced, so all nodes converge.
    @see config_state
*/
struct state_content {
    coverage covered;
    object_table objects;
    ticket_outcomes outcomes{max_ticket_numbers};
    group_holders holders;
    std::uint64_t dropped_end{0}; ///< Removals at lower offsets may have been dropped.

    /** Applies one ticket. A non-empty `schema_error` rejects it.
        @param duplicate Set to true if an earlier record has the same number and content; the returned
        outcome is then that of the earlier record.
    */
    ticket_outcome apply_ticket(const ticket& change, std::string_view schema_error, std::uint64_t offset,
                                bool& duplicate);

    /** Merges another state or a delta into this one. */
    void merge(const state_content& other);

    /** Hash of the configuration, independent of the covered offsets. */
    [[nodiscard]] std::uint64_t digest() const;

private:
    void put_objects(const ticket& change, std::uint64_t offset);
    void drop_old_removals();
};

} // namespace berylcrank
