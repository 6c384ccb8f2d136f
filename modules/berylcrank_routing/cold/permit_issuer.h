#pragma once

#include "modules/berylcrank_config/state/holder_assignment.h"
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

/** Issues the permits of the admission groups that this node holds. Thread-safe.

    A permit is outstanding until it is released, or until `permit_lifetime + expiry_margin` has passed at
    the holder. The dispatcher counts `permit_lifetime` from before it sent the permit request and ends the
    permitted request within it, so the permit is no longer in use when it expires at the holder.

    A new holder issues nothing until every permit of the previous holder must have ended. It waits for
    `permit_lifetime + expiry_margin + max_proof_age + gossip_delay` after it read its assignment. If the
    previous holder wrote the assignment itself after `retire`, it waits only for `permit_lifetime +
    expiry_margin`. The previous holder stops when it reads the assignment, or `max_proof_age` after its
    last proof that it had read the log to the end.
    @see cold_gate, holder_election
*/
class permit_issuer {
public:
    struct options {
        incarnation self;
        cold_timing times;
        millis retry{20}; ///< `retry_after` for a requester while all permits are outstanding.
    };

    struct counters {
        std::uint64_t granted{0};
        std::uint64_t refused_full{0};        ///< All permits are outstanding.
        std::uint64_t refused_waiting{0};     ///< The new holder does not issue yet.
        std::uint64_t refused_unconfirmed{0}; ///< No recent proof that the log was read to the end.
        std::uint64_t expired{0};
        std::uint64_t declared_warm{0};
        std::uint64_t declared_cold{0};
    };

    explicit permit_issuer(const options& opts);

    /** Records that the log assigns `group` to this node. Repeated calls have no effect.
        @param is_hand_over True if the previous holder wrote the record after it had called `retire`. */
    void hold(std::uint32_t group, bool is_hand_over, instant now);

    /** Records that the log assigns `group` to this node, and that no earlier permit can be outstanding:
        there was no previous holder, or it handed over after its last permit had ended. Issues without a
        delay. */
    void hold_immediately(std::uint32_t group);

    /** Records that the log assigns `group` to another node. */
    void stop(std::uint32_t group);

    /** Stops issuing for the rest of this run, before a hand-over. Later calls of `hold` have no effect: if
        the hand-over record is appended late, its reader waits only for permits issued before this call. */
    void retire();

    /** Records that this node had read all records of the log at the time `proof`: the start of a read that
        reached the end of the log, `peer_view::log_end_confirmed_at`, or, while the log cannot be read,
        `peer_view::outage_confirmed_at`. */
    void confirm_holder(instant proof);

    /** Handles a permit request.
        @param now Read after the request arrived. */
    permit_response acquire(incarnation requester, std::string_view upstream, request_class cls,
                            const cold_limits& limits, instant now);

    /** Takes a permit back. An unknown, expired or repeated permit is ignored, except for its report that
        the incarnation is cold, which is valid with any permit. */
    void release(const permit_release& released, const cold_limits& limits, instant now);

    /** Marks an incarnation warm that the previous holder reported as warm. */
    void mark_warm(std::string_view upstream, std::string_view upstream_incarnation);

    /** Returns the warm reports made since the last call, for this node's gate and for gossip. */
    [[nodiscard]] std::vector<warm_report> take_warm_reports();

    /** Number of permits outstanding for an upstream. */
    [[nodiscard]] std::size_t outstanding(std::string_view upstream, instant now) const;

    /** Number of permits outstanding for all upstreams. */
    [[nodiscard]] std::size_t total_outstanding(instant now) const;

    /** True if this node holds `group`, even if it does not issue yet. */
    [[nodiscard]] bool is_holder(std::uint32_t group) const;

    [[nodiscard]] counters count() const;

private:
    struct held_group {
        bool is_held{false};
        instant issue_from;
    };
    struct permit_entry {
        std::uint64_t id{0};
        instant expires_at;
    };
    /** A node that was refused a permit and is expected to retry. */
    struct waiting_requester {
        incarnation requester;
        berylcrank::request_class request_class{request_class::lookup};
        instant until;
    };
    struct upstream_state {
        std::vector<permit_entry> permits;
        std::vector<waiting_requester> waiting;
        warm_tracker warm;
    };

    [[nodiscard]] millis wait_time(const held_group& group, instant now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    bool admit(upstream_state& state, incarnation requester, request_class cls, const cold_limits& limits,
               instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void remove_expired(upstream_state& state, instant now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void declare(std::string_view upstream, std::string_view upstream_incarnation, bool warm)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    const options options_;
    mutable mutex mutex_;
    std::array<held_group, group_count> groups_ ABSL_GUARDED_BY(mutex_);
    string_map<upstream_state> upstreams_ ABSL_GUARDED_BY(mutex_);
    std::vector<warm_report> reports_ ABSL_GUARDED_BY(mutex_);
    bool is_retired_ ABSL_GUARDED_BY(mutex_){false};
    instant confirmed_at_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t last_permit_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t last_sequence_ ABSL_GUARDED_BY(mutex_){0};
    counters count_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
