#pragma once

#include "modules/berylcrank_core/identity/incarnation.h"
#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>
#include <string>

namespace berylcrank {

/** A permit at the dispatching node; good for one attempt. @see cold_gate, permit_response */
struct cold_permit {
    std::uint64_t id{0};
    std::string upstream;
    incarnation holder;
    instant
        expires; ///< Moment of the ask plus `permit_response::expires_after`; the request must have ended.

    /** Time that an attempt under this permit may be given from `now`, to be written into
        `Berylcrank-Timeout-Ms` and used as the attempt's own timeout. `spare` is left for connecting and for
        the check before the first byte. Zero if nothing is left. */
    [[nodiscard]] millis run_limit(instant now, millis spare) const {
        const auto left = expires - now - spare;
        return left > millis{0} ? left : millis{0};
    }
};

} // namespace berylcrank
