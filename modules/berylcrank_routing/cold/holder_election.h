#pragma once

#include "modules/berylcrank_config/state/holder_assignment.h"
#include "modules/berylcrank_core/identity/incarnation.h"
#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/time/instant.h"

#include <array>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace berylcrank {

/** Decides when a node proposes itself as holder of an admission group. Not thread-safe; owned by the
    control thread.

    The alive nodes are ranked for each group by rendezvous hashing. Each node waits for its rank times
    `step` plus a random jitter, so usually only one appends a record. Two appends at once do no harm: the
    second record replaces a holder that is no longer in force, so it has no effect.
    @see permit_issuer
*/
class holder_election {
public:
    struct options {
        incarnation self;
        millis step{700};     ///< Longer than it takes to append a record and read it.
        millis jitter{200};   ///< Upper bound of the random delay added to a proposal.
        millis retry{3000};   ///< A proposal without effect is repeated after this time.
        std::size_t burst{8}; ///< Maximum proposals per call; the log accepts few appends per second.
    };

    /** Returns whether a run has certainly ended. @see peer_view::has_ended */
    using has_ended = std::function<bool(incarnation)>;

    explicit holder_election(const options& opts) : options_(opts) {}

    /** Returns the records to append now.
        @param holders Holders in force according to the log.
        @param alive Runs that are alive and not leaving, including this one. */
    std::vector<holder_assignment> propose(std::span<const incarnation, group_count> holders,
                                           std::span<const incarnation> alive, const has_ended& ended,
                                           random_source& random, instant now);

    /** Returns the records that hand the groups of this node over to others on a planned stop. Call only
        after `permit_issuer::retire`. Empty if no other node is alive: then the groups are taken over once
        this run has ended. */
    [[nodiscard]] std::vector<holder_assignment> hand_over(std::span<const incarnation, group_count> holders,
                                                           std::span<const incarnation> alive) const;

    /** Rank of `node` for `group`; 0 is the preferred holder. Nothing if `node` is not in `alive`. */
    static std::optional<std::size_t> rank(std::uint32_t group, incarnation node,
                                           std::span<const incarnation> alive);

private:
    struct vacancy {
        bool is_vacant{false};
        incarnation replaces;
        instant detected_at;
        millis jitter;
        std::optional<instant> proposed_at;
    };

    const options options_;
    std::array<vacancy, group_count> vacancies_{};
};

} // namespace berylcrank
