#pragma once

#include <cstddef>
#include <string>

namespace berylcrank::bench {

/** Bytes of the answer to `/lookup`. */
inline constexpr std::size_t lookup_bytes = 200;

/** Bytes of the answer to `/download`. */
inline constexpr std::size_t download_bytes = 64U << 20U;

/** Starts an upstream that answers at once; returns its address. Lives until the process ends. */
std::string serve_upstream(unsigned threads);

/** Starts a relay to one upstream; returns its address. Lives until the process ends. */
std::string serve_relay(unsigned threads, const std::string& upstream);

} // namespace berylcrank::bench
