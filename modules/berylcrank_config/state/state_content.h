#pragma once

#include "modules/berylcrank_config/state/coverage.h"
#include "modules/berylcrank_config/state/group_holders.h"
#include "modules/berylcrank_config/state/object_table.h"
#include "modules/berylcrank_config/state/ticket_outcomes.h"

#include <optional>

namespace berylcrank {

/** Number of ticket numbers whose outcome is remembered; at 13,000 tickets a day the last 7.5 hours. */
inline constexpr std::size_t kept_ticket_numbers = 4096;

/** The configuration as a value that can be joined; also the content of snapshots and peer deltas.

    `join` is commutative and idempotent, and associative for states without a gap. A state that passed over
    records may have accepted a ticket that others rejected; joins then drop what a state without a gap has
    certainly seen rejected or replaced, and all nodes still converge.
    @see config_state
*/
struct state_content {
    coverage covered;
    object_table objects;
    ticket_outcomes outcomes{kept_ticket_numbers};
    group_holders holders;
    std::uint64_t dropped_end{0}; ///< Removals at offsets below this may have been dropped.

    /** Applies one ticket; a `fault` rejects it. `duplicate` is set if a record with the same number and
       content came before. */
    ticket_outcome apply_ticket(const ticket& it, std::string_view fault, std::uint64_t offset,
                                bool& duplicate);

    /** Adds what `other` knows. */
    void merge(const state_content& other);

    /** Hash that is equal for equal configurations, whatever offset they reached. */
    [[nodiscard]] std::uint64_t digest() const;

private:
    void put_objects(const ticket& it, std::uint64_t offset);
    void drop_old_removals();
};

} // namespace berylcrank
