#pragma once

#include <cstdint>
#include <string>

namespace berylcrank {

/** The two keyed sequences of records on the platform's store that nodes follow. */
enum class record_source : std::uint8_t {
    operators, ///< Configuration and evacuations.
    upstreams, ///< Registrations of upstreams.
};
inline constexpr std::size_t record_source_count = 2;

/** The newest record of one key. The offset orders the records of a source. */
struct state_record {
    std::string key;
    std::uint64_t offset{0};
    std::string value;
    bool removed{false};
};

} // namespace berylcrank
