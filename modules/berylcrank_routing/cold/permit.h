#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>
#include <string>

namespace berylcrank {

/** Answer of a permit holder. Mirrors `PermitAnswer` in schema/peer.capnp. @see permit_release */
struct permit_response {
    bool granted{false};
    std::uint64_t permit{0};
    millis expires_after; ///< Counted by the receiver from before it asked.
    millis retry_after;   ///< When not granted: time after which asking again is useful.
    bool is_holder{true}; ///< False if the asked node does not hold the upstream's admission group.
};

/** How a permitted request ended. */
enum class permit_outcome : std::uint8_t { unused, good, failed };

/** Return of a permit. @see permit_response */
struct permit_release {
    std::uint64_t permit{0};
    std::string upstream;
    permit_outcome outcome{permit_outcome::unused};
    std::string upstream_incarnation; ///< As named by the answer; empty if none was.
    bool reported_cold{false};        ///< The answer's load report says that the upstream is cold.
};

} // namespace berylcrank
