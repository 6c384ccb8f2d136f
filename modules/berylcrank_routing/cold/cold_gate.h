#pragma once

#include "modules/berylcrank_config/state/holder_assignment.h"
#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_routing/cold/cold_attempt.h"
#include "modules/berylcrank_routing/cold/string_map.h"
#include "modules/berylcrank_routing/cold/upstream_warm_state.h"

#include <array>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Admission control for cold upstreams at the dispatching node.

    Decides which requests need a permit. Checks immediately before the first byte that each request has a
    permit or uses a verified connection, i.e. one whose last response named an incarnation that is known to
    be warm. Thread-safe.

    For each attempt: call `begin`; if it returns false, acquire a permit and pass it to
    `cold_attempt::set_permit`; call `may_send` in the client's check before the request is sent, `on_head`
    for the response, and `finish` exactly once. The caller sends the releases returned by `on_head` and
    `finish` to the holder.

    Known limitation: if the process is paused between `may_send` and the write of the first byte, the
    upstream starts the run limit late. `cold_timing::expiry_margin` covers pauses up to its length.
    @see permit_issuer
*/
class cold_gate {
public:
    struct counters {
        std::uint64_t verified{0};              ///< Sent on a verified connection.
        std::uint64_t permitted{0};             ///< Sent under a permit.
        std::uint64_t denied_without_permit{0}; ///< Not sent: not verified and no permit.
        std::uint64_t denied_expiring{0};       ///< Not sent: the permit would expire before the run limit.
        std::uint64_t reports_applied{0};       ///< New warm reports of holders.
        std::uint64_t reports_ignored{0}; ///< Repeated, outdated, or from a node that is not the holder.
    };

    cold_gate() = default;

    /** Starts an attempt.
        @param needs_new True if the attempt opens a new connection even if another one is idle.
        @return True if a verified connection is expected to be idle; otherwise a permit is needed. */
    bool begin(cold_attempt& attempt, bool needs_new);

    /** The check before the first byte. If it returns false, nothing may be sent; an attempt without a
        permit may be started again with one. */
    bool may_send(cold_attempt& attempt, std::uint16_t local_port, bool is_new, instant now);

    /** Records the incarnation and state named by the head of the response.
        @param upstream_incarnation Empty if the response names none.
        @return The release of the permit, if the connection is now verified and no longer needs it. */
    std::optional<permit_release> on_head(cold_attempt& attempt, std::string_view upstream_incarnation,
                                          bool reported_cold);

    /** Ends the attempt.
        @return The release to send to the holder. Nothing if there is no permit, or if the upstream may
            still run the request: then the permit stays outstanding until it expires. A release with
            `permit` 0 only reports that the upstream is cold. */
    std::optional<permit_release> finish(cold_attempt& attempt, cold_outcome outcome);

    /** Sets the holders in force by group, as read from the log. Reports of other nodes are ignored. */
    void set_holders(std::span<const incarnation, group_count> holders);

    /** Applies a warm report from gossip or from this node's issuer. @return True if it is new. */
    bool on_warm_report(const warm_report& report, instant now);

    /** Warm reports for a gossip message.
        @param max_recent Maximum number of reports that arrived within `recent`.
        @param max_old Maximum number of older reports; chosen at random, for nodes that missed them. */
    [[nodiscard]] std::vector<warm_report> warm_reports(random_source& random, std::size_t max_recent,
                                                        std::size_t max_old, millis recent,
                                                        instant now) const;

    /** True if the incarnation is known to be warm. */
    [[nodiscard]] bool is_warm(std::string_view upstream, std::string_view upstream_incarnation) const;

    /** Upstreams of a group with their incarnations that are known to be warm, for a new holder. */
    [[nodiscard]] std::vector<std::pair<std::string, std::string>>
    warm_incarnations(std::uint32_t group) const;

    /** Number of verified connections to an upstream. */
    [[nodiscard]] std::size_t verified_connections(std::string_view upstream) const;

    /** Erases the state of an upstream that is no longer configured. */
    void forget(std::string_view upstream);

    [[nodiscard]] counters count() const;

private:
    static constexpr std::size_t shard_count = 16; // A divisor of `group_count`.

    struct upstream_shard {
        mutable mutex lock;
        string_map<upstream_warm_state> upstreams ABSL_GUARDED_BY(lock);
        std::array<incarnation, group_count / shard_count> holders ABSL_GUARDED_BY(lock);
        counters count ABSL_GUARDED_BY(lock);
    };

    [[nodiscard]] upstream_shard& shard_of(std::string_view upstream) const {
        return shards_[group_of(upstream) % shard_count];
    }

    static bool is_permit_valid(const cold_attempt& attempt, instant now, counters& count);

    mutable std::array<upstream_shard, shard_count> shards_;
};

} // namespace berylcrank
