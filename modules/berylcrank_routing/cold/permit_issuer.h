#pragma once

#include "modules/berylcrank_config/state/group_record.h"
#include "modules/berylcrank_core/identity/incarnation.h"
#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_core/verdict/request_class.h"
#include "modules/berylcrank_membership/message/gossip_message.h"
#include "modules/berylcrank_routing/cold/cold_limits.h"
#include "modules/berylcrank_routing/cold/permit.h"
#include "modules/berylcrank_routing/cold/string_map.h"
#include "modules/berylcrank_routing/cold/warm_tracker.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Issues the permits of the admission groups that this node holds. Safe from any thread.

    A permit is outstanding until it is released or `permit + margin` has passed at the holder. The dispatcher
    counts `permit` from before it asked and ends the request within it, so its use ends first.

    A new holder issues nothing until every permit of the one before must have ended: it waits
    `permit + margin + confirm + spread` after it read its assignment, or `permit + margin` if the assignment
   was written by the previous holder itself after it had called `retire`. The holder before stops when it
   reads the assignment, or `confirm` after its last proof that it had read the log's end.
    @see cold_gate, holder_election
*/
class permit_issuer {
public:
    struct options {
        incarnation self;
        cold_timing times;
        millis retry{20}; ///< Told to a node that gets no permit while others hold them all.
    };

    struct counters {
        std::uint64_t granted{0};
        std::uint64_t refused_full{0};
        std::uint64_t refused_waiting{0};     ///< New holder that still waits.
        std::uint64_t refused_unconfirmed{0}; ///< No recent proof of the log's end.
        std::uint64_t expired{0};
        std::uint64_t declared_warm{0};
        std::uint64_t declared_cold{0};
    };

    explicit permit_issuer(const options& it);

    /** Takes that the log names this node as holder of `group`. Repeated calls change nothing.
        @param is_hand_over True if the holder before wrote the record after it had called `retire`. */
    void hold(std::uint32_t group, bool is_hand_over, instant now);

    /** Takes that the log names this node as holder of `group` and that no earlier permit can be outstanding:
       there was no holder before, or it handed over after its last permit had ended. Issues at once. */
    void hold_immediately(std::uint32_t group);

    /** Takes that the log names another holder of `group`. */
    void stop(std::uint32_t group);

    /** Stops issuing for the rest of this run, ahead of a hand-over. Later calls of `hold` change nothing: if
        the hand-over record is appended late, its reader waits only for permits issued before this call. */
    void retire();

    /** Takes that the log contained no unread record at `proof`: the start of a read that reached the log's
        end, `peer_view::relayed_proof`, or, while the log cannot be read, `peer_view::outage_proof`. */
    void confirm_holder(instant proof);

    /** Asks for a permit.
        @param now Read after the ask arrived. */
    permit_response acquire(incarnation who, std::string_view upstream, request_class it,
                            const cold_limits& limits, instant now);

    /** Takes a permit back. Unknown, expired and repeated ones are ignored, but for a report of a cold
        incarnation, which counts with any permit. */
    void release(const permit_release& it, const cold_limits& limits, instant now);

    /** Takes over that an incarnation is warm, known from the news of the holder before. */
    void mark_warm(std::string_view upstream, std::string_view upstream_incarnation);

    /** Statements made since the last call, for the own gate and for gossip. */
    [[nodiscard]] std::vector<warm_news> take_warm_reports();

    /** Permits outstanding for an upstream. */
    [[nodiscard]] std::size_t outstanding(std::string_view upstream, instant now) const;

    /** Permits outstanding for all upstreams. */
    [[nodiscard]] std::size_t total_outstanding(instant now) const;

    /** True if `group` is held, even while it waits. */
    [[nodiscard]] bool is_holder(std::uint32_t group) const;

    [[nodiscard]] counters count() const;

private:
    struct held_group {
        bool is_held{false};
        instant issue_from;
    };
    struct permit_entry {
        std::uint64_t id{0};
        instant ends;
    };
    /** A node that was refused and is expected to ask again. */
    struct asker {
        incarnation who;
        berylcrank::request_class request_class{request_class::lookup};
        instant until;
    };
    struct upstream_state {
        std::vector<permit_entry> permits;
        std::vector<asker> askers;
        warm_tracker warm;
    };

    [[nodiscard]] millis wait_of(const held_group& it, instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    bool has_slot(upstream_state& state, incarnation who, request_class it, const cold_limits& limits,
                  instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void drop_expired(upstream_state& state, instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void declare(std::string_view upstream, std::string_view upstream_incarnation, bool warm)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const options options_;
    mutable mutex mutex_;
    std::array<held_group, group_count> groups_ ABSL_GUARDED_BY(mutex_);
    string_map<upstream_state> upstreams_ ABSL_GUARDED_BY(mutex_);
    std::vector<warm_news> news_ ABSL_GUARDED_BY(mutex_);
    bool is_retired_ ABSL_GUARDED_BY(mutex_){false};
    instant confirmed_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t last_permit_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t sequence_ ABSL_GUARDED_BY(mutex_){0};
    counters count_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
