#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>

namespace berylcrank {

/** Settings of a service for cold admission, from the configuration in force. @see permit_issuer */
struct cold_limits {
    std::uint32_t concurrency{1};    ///< `service_config::cold_concurrency`.
    std::uint32_t warm_requests{20}; ///< `service_config::warm_requests`.
};

/** Time spans of cold admission; equal on all nodes. @see permit_issuer, cold_gate */
struct cold_timing {
    /** Time from the permit request within which the permitted request must end. */
    millis permit_lifetime{2000};
    /** Added by the holder before it issues the permit again. Covers the transit of the request and of its
        cancellation, and clock drift. */
    millis expiry_margin{250};
    /** Maximum age of the last proof that the log assigned no other holder. With an older proof nothing is
        issued. Set from `isolation_limit` of the settings. */
    millis max_proof_age{2500};
    /** Time within which gossip carries the offset of a new record to most nodes while the log is down. */
    millis gossip_delay{1000};
};

} // namespace berylcrank
