#pragma once

#include "modules/berylcrank_core/identity/incarnation.h"
#include "modules/berylcrank_core/time/instant.h"

#include <optional>
#include <string>
#include <string_view>

namespace berylcrank {

/** The id of a non-idempotent request, sent as `Idempotency-Key`.

    Text form: `<incarnation>-<mint ms>-<serial>-<check>.<number>`, all hexadecimal but the last, which is a
    decimal number chosen by the caller. The part before the dot is the prefix that an address answer hands
   out.
    @see id_minter
*/
struct request_id {
    incarnation home;        ///< The only run of a node that may dispatch this id.
    instant minted;          ///< When the home minted the prefix, on the home's clock; whole milliseconds.
    std::uint64_t serial{0}; ///< Distinguishes prefixes of one home.
    std::uint64_t check{0};  ///< Keyed hash over the fields above.
    std::uint64_t number{0}; ///< The caller's number within the prefix.

    auto operator<=>(const request_id&) const = default;

    template <typename H>
    friend H AbslHashValue(H state, const request_id& it) {
        return H::combine(std::move(state), it.home, it.serial, it.number);
    }
};

/** Reads the text form; nothing if it is malformed. Does not verify the check. @see id_minter::is_genuine */
std::optional<request_id> parse_request_id(std::string_view text);

/** The text form. @see parse_request_id */
std::string to_string(const request_id& it);

} // namespace berylcrank
