#pragma once

#include <cstdint>
#include <string>

namespace berylcrank {

/** The two sources of keyed records in the platform's store that nodes replicate. */
enum class record_source : std::uint8_t {
    operators, ///< Configuration and evacuations.
    upstreams, ///< Registrations of upstreams.
};
inline constexpr std::size_t record_source_count = 2;

/** A record of one key. Offsets order the records of a source. */
struct state_record {
    std::string key;
    std::uint64_t offset{0};
    std::string value;
    bool removed{false};
};

} // namespace berylcrank
