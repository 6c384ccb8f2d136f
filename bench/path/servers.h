#pragma once

#include <cstddef>
#include <string>

namespace berylcrank::bench {

/** Body size of the response to `/lookup`. */
inline constexpr std::size_t lookup_bytes = 200;

/** Body size of the response to `/download`. */
inline constexpr std::size_t download_bytes = 64U << 20U;

/** Starts an upstream that responds immediately and runs until the process ends.
    @return Its address. Throws std::runtime_error if the server cannot be started. */
std::string start_upstream(unsigned threads);

/** Starts a node that relays requests to one upstream and runs until the process ends.
    @return Its address. Throws std::runtime_error if the server cannot be started. */
std::string start_relay(unsigned threads, const std::string& upstream);

} // namespace berylcrank::bench
