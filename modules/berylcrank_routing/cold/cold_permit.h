#pragma once

#include "modules/berylcrank_core/identity/incarnation.h"
#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>
#include <string>

namespace berylcrank {

/** A permit as held by the dispatching node; valid for one attempt. @see cold_gate, permit_response */
struct cold_permit {
    std::uint64_t id{0};
    std::string upstream;
    incarnation holder;
    /** Latest end of the permitted request: time of the permit request plus `permit_response::expires_after`.
     */
    instant expires;

    /** Maximum run time of an attempt under this permit, for `Berylcrank-Timeout-Ms` and as the timeout of
        the attempt.
        @param spare Time reserved for connecting and for the check before the first byte.
        @return Zero if no time is left. */
    [[nodiscard]] millis run_limit(instant now, millis spare) const {
        const auto left = expires - now - spare;
        return left > millis{0} ? left : millis{0};
    }
};

} // namespace berylcrank
