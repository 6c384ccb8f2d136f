#pragma once

#include "modules/berylcrank_config/state/group_record.h"
#include "modules/berylcrank_core/identity/incarnation.h"
#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/time/instant.h"

#include <array>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace berylcrank {

/** Decides when a node proposes itself as holder of an admission group. Not thread-safe; owned by the control
    thread.

    Nodes rank themselves for each group by rendezvous hashing over the alive members; each waits for its rank
    times `step` plus jitter, so usually one appends. Two that append at once do no harm, since the second
    record names a holder that is no longer in force.
    @see permit_issuer
*/
class holder_election {
public:
    struct options {
        incarnation self;
        millis step{700};     ///< Longer than an append and its reading take.
        millis jitter{200};   ///< Spread added to a proposal of one rank.
        millis retry{3000};   ///< A proposal that had no effect is repeated after this time.
        std::size_t burst{8}; ///< Most proposals of one call; the log takes few appends a second.
    };

    /** Tells whether a run has ended for sure. @see peer_view::has_ended */
    using has_ended = std::function<bool(incarnation)>;

    explicit holder_election(const options& it) : options_(it) {}

    /** Records to append now.
        @param holders In force by the log; `alive`: runs that are alive and not leaving, this one included.
     */
    std::vector<group_record> propose(std::span<const incarnation, group_count> holders,
                                      std::span<const incarnation> alive, const has_ended& ended,
                                      random_source& random, instant now);

    /** Records that give this node's groups to others on a planned stop; only after `permit_issuer::retire`.
        Nothing for a group if no other node is alive: it is taken over once this run has ended. */
    [[nodiscard]] std::vector<group_record> hand_over(std::span<const incarnation, group_count> holders,
                                                      std::span<const incarnation> alive) const;

    /** Position of `who` for `group` among `alive`, 0 is the preferred holder; nothing if it is not there. */
    static std::optional<std::size_t> rank(std::uint32_t group, incarnation who,
                                           std::span<const incarnation> alive);

private:
    struct vacancy {
        bool is_vacant{false};
        incarnation replaces;
        instant noticed;
        millis jitter;
        std::optional<instant> proposed;
    };

    const options options_;
    std::array<vacancy, group_count> vacancies_{};
};

} // namespace berylcrank
