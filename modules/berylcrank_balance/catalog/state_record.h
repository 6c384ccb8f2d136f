#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace berylcrank {

/** The two sources of keyed records in the platform's store that nodes replicate. */
enum class record_source : std::uint8_t {
    operators, ///< Configuration and evacuations.
    upstreams, ///< Registrations of upstreams.
};
inline constexpr std::size_t record_source_count = 2;

/** What a record does to the node's view of the deployment. */
enum class record_effect : std::uint8_t {
    changed,    ///< Changes the view.
    unchanged,  ///< Repeats what is known, e.g. the heartbeat of an upstream.
    superseded, ///< Is older than what is known, although the store has executed its write later.
};

/** Place of a record in a source. A store that is restored from a backup assigns offsets again and starts a
    new epoch, so positions are ordered by epoch first. */
struct store_position {
    std::uint64_t epoch{0};
    std::uint64_t offset{0};
    // NOLINTNEXTLINE(modernize-use-nullptr): false report
    friend auto operator<=>(const store_position&, const store_position&) = default;
};

/** A record of one key. Positions order the records of a source. */
struct state_record {
    std::string key;
    std::uint64_t offset{0};
    std::string value;
    bool removed{false};
    std::uint64_t epoch{0}; ///< Epoch of the store that assigned the offset.

    [[nodiscard]] store_position position() const { return {.epoch = epoch, .offset = offset}; }
};

} // namespace berylcrank
