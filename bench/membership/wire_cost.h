#pragma once

#include <cstdint>

namespace berylcrank::bench {

/** What one gossip call between two real endpoints costs on loopback. */
struct wire_cost {
    double call_bytes{0};    ///< Both directions, without TCP headers.
    double message_bytes{0}; ///< Encoded message, of which a call carries two.
    double cpu_us{0};        ///< Of the process, caller and server together.
};

/** Makes `calls` calls, one after the other. */
wire_cost measure_wire(int calls);

} // namespace berylcrank::bench
