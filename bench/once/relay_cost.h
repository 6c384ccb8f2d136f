#pragma once

#include <cstddef>

namespace berylcrank::bench {

/** Latency of a relayed order between two endpoints on loopback. @see measure_relay */
struct relay_cost {
    double p50_us{0};
    double p99_us{0};
    double bytes{0}; ///< Bytes on the wire for each relay, both ways, as the client counts them.
};

/** Relays `calls` orders one after the other, each with a body of `body_bytes` that is answered in full. */
relay_cost measure_relay(std::size_t body_bytes, std::size_t calls);

} // namespace berylcrank::bench
