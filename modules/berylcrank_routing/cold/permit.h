#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>
#include <string>

namespace berylcrank {

/** Response of a permit holder. Mirrors `PermitAnswer` in schema/peer.capnp. @see permit_release */
struct permit_response {
    bool granted{false};
    std::uint64_t permit{0};
    millis expires_after; ///< Counted by the requester from before it sent the request.
    millis retry_after;   ///< If not granted: time after which a further request is useful.
    bool is_holder{true}; ///< False if the node does not hold the admission group of the upstream.
};

/** Outcome of a permitted request. */
enum class permit_outcome : std::uint8_t { unused, good, failed };

/** Returns a permit to its holder. @see permit_response */
struct permit_release {
    std::uint64_t permit{0};
    std::string upstream;
    permit_outcome outcome{permit_outcome::unused};
    std::string upstream_incarnation; ///< Named by the upstream's response; empty if there is none.
    bool reported_cold{false};        ///< The load report of the response says that the upstream is cold.
};

} // namespace berylcrank
