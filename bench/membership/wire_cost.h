#pragma once

#include <cstdint>

namespace berylcrank::bench {

/** Mean cost of one gossip call between two RPC endpoints on loopback. @see measure_wire */
struct wire_cost {
    double call_bytes{0};    ///< Bytes in both directions, without TCP headers.
    double message_bytes{0}; ///< Size of an encoded message; a call carries two.
    double cpu_us{0};        ///< CPU time of the process, client and server together.
};

/** Makes `calls` calls one after the other and returns the mean cost per call. Returns zeros if an endpoint
    cannot be created; prints failed calls to stderr. */
wire_cost measure_wire(int calls);

} // namespace berylcrank::bench
