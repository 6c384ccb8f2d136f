#pragma once

#include "modules/berylcrank_config/state/object_table.h"
#include "modules/berylcrank_config/state/ticket_outcomes.h"

#include <optional>
#include <string>

namespace berylcrank {

/** Returns why a ticket is rejected in the given state; empty if it is accepted. Deterministic, so all nodes
    reach the same result.

    A ticket is accepted if its number is unused, above the floor and above the last ticket number of every
    object that it sets or removes, if all removed objects exist, and if all references are valid afterwards.
    The caller handles duplicates.
    @param schema_error Result of the schema check of the record; empty if it passed.
*/
std::optional<std::string> rejection_reason(const ticket& change, std::string_view schema_error,
                                            const object_table& objects, const ticket_outcomes& outcomes);

} // namespace berylcrank
