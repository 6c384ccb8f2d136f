#pragma once

#include "modules/berylcrank_core/identity/incarnation.h"
#include "modules/berylcrank_core/time/instant.h"

#include <optional>
#include <string>
#include <string_view>

namespace berylcrank {

/** Id of a non-idempotent request, sent in the `Idempotency-Key` header.

    Text form: `<incarnation>-<mint ms>-<serial>-<check>.<number>`. The caller chooses the number, which is
    decimal; all other fields are hexadecimal. The part before the dot is the prefix that a node returns in an
    address response.
    @see id_minter
*/
struct request_id {
    incarnation home;        ///< Run that minted the prefix; no other run may dispatch this id.
    instant minted;          ///< Mint time of the prefix by the clock of `home`, in whole milliseconds.
    std::uint64_t serial{0}; ///< Number of the prefix, unique within `home`.
    std::uint64_t check{0};  ///< Keyed hash of the fields above.
    std::uint64_t number{0}; ///< Number that the caller chose, unique within the prefix.

    auto operator<=>(const request_id&) const = default;

    template <typename H>
    friend H AbslHashValue(H state, const request_id& id) {
        return H::combine(std::move(state), id.home, id.serial, id.number);
    }
};

/** Parses the text form. Returns nothing if it is malformed. Does not verify the check hash.

    @see id_minter::is_genuine
*/
std::optional<request_id> parse_request_id(std::string_view text);

/** Formats the text form. @see parse_request_id */
std::string to_string(const request_id& id);

} // namespace berylcrank
