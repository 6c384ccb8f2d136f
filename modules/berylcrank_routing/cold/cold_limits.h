#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>

namespace berylcrank {

/** Cold admission fields of a service, taken from the configuration in force. @see permit_issuer */
struct cold_limits {
    std::uint32_t concurrency{1};    ///< `service_config::cold_concurrency`.
    std::uint32_t warm_requests{20}; ///< `service_config::warm_requests`.
};

/** Times of cold admission; the same on all nodes. @see permit_issuer, cold_gate */
struct cold_timing {
    millis permit_lifetime{2000}; ///< Time from the ask in which a permitted request must have ended.
    /** Added by the holder before a permit may be issued again: transit of the request, of its cancellation,
        and drift of clocks. */
    millis expiry_margin{250};
    /** Age of the last proof that the log named no other holder, above which nothing is issued; the
        `isolation_limit` of the settings. */
    millis max_proof_age{2500};
    /** Time in which gossip carries the offset of a new record to most nodes while the log is down. */
    millis gossip_delay{1000};
};

} // namespace berylcrank
