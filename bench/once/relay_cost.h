#pragma once

#include <cstddef>

namespace berylcrank::bench {

/** Latency and traffic of an order relayed between two endpoints on loopback. @see measure_relay */
struct relay_cost {
    double p50_us{0};
    double p99_us{0};
    double bytes{0}; ///< Bytes on the wire per relay in both directions, as counted by the client.
};

/** Relays `calls` orders one after the other. The server sends the body of `body_bytes` back. Exits the
    process if a relay fails. */
relay_cost measure_relay(std::size_t body_bytes, std::size_t calls);

} // namespace berylcrank::bench
