#pragma once

#include "modules/berylcrank_config/state/object_table.h"
#include "modules/berylcrank_config/state/ticket_outcomes.h"

#include <optional>
#include <string>

namespace berylcrank {

/** Why a ticket cannot be accepted on top of a state; nothing if it can. The same on every node.

    `fault` is what the record's schema check found. Rules: the number is unused and above the floor, and
   above the number of every object that the ticket touches; removed objects exist; references hold after the
   ticket. Duplicates are sorted out before.
*/
std::optional<std::string> rejection_reason(const ticket& it, std::string_view fault,
                                            const object_table& objects, const ticket_outcomes& outcomes);

} // namespace berylcrank
