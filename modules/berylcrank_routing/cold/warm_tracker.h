#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Counts good answers of the incarnations of one upstream at its permit holder. Not thread-safe.

    Counts are kept by incarnation, so a late answer of an earlier process never counts for a newer one. Only
    the last few incarnations are kept.
    @see permit_issuer
*/
class warm_tracker {
public:
    enum class change : std::uint8_t { none, became_warm, became_cold };

    /** Counts a good answer. */
    change good(std::string_view upstream_incarnation, std::uint32_t warm_requests);

    /** Takes that an answer of the incarnation reported it cold; its count starts again. */
    change cold(std::string_view upstream_incarnation);

    /** Marks an incarnation warm. */
    change mark_warm(std::string_view upstream_incarnation);

    [[nodiscard]] bool is_warm(std::string_view upstream_incarnation) const;

    [[nodiscard]] bool is_empty() const { return entries_.empty(); }

private:
    struct entry {
        std::string upstream_incarnation;
        std::uint32_t good{0};
        bool warm{false};
    };

    entry& find(std::string_view upstream_incarnation);

    std::vector<entry> entries_; // Latest first seen last.
};

} // namespace berylcrank
