#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Counts successful responses of the incarnations of one upstream at its permit holder, and marks an
    incarnation warm after enough of them. Not thread-safe.

    Each incarnation has its own count, so a late response of an earlier process never counts for a newer
    one. Only the last few incarnations are kept.
    @see permit_issuer
*/
class warm_tracker {
public:
    enum class change : std::uint8_t { none, became_warm, became_cold };

    /** Records a successful response. */
    change on_success(std::string_view upstream_incarnation, std::uint32_t warm_requests);

    /** Records a response that reported the incarnation cold. Its count restarts. */
    change on_cold_report(std::string_view upstream_incarnation);

    /** Marks an incarnation warm. */
    change mark_warm(std::string_view upstream_incarnation);

    [[nodiscard]] bool is_warm(std::string_view upstream_incarnation) const;

    [[nodiscard]] bool is_empty() const { return entries_.empty(); }

private:
    struct entry {
        std::string upstream_incarnation;
        std::uint32_t successes{0};
        bool warm{false};
    };

    entry& find_or_add(std::string_view upstream_incarnation);

    std::vector<entry> entries_; // In the order in which the incarnations were first seen.
};

} // namespace berylcrank
