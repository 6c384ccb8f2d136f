#pragma once

#include "modules/berylcrank_config/state/group_record.h"
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

/** Decides at the dispatching node which requests need a permit, and checks immediately before the first byte
    that each has one or goes out on a verified connection. Safe from any thread.

    Use for each attempt: `begin`; without an idle verified connection get a permit and `cold_attempt::use`
   it; `may_send` from the client's pre-request check; `on_head`; `finish` exactly once. Releases that
   `on_head` and `finish` return go to the holder.

    What remains: a pause between `may_send` and the write of the first byte starts the upstream's run limit
    late; `cold_timing::expiry_margin` covers pauses up to its length.
    @see permit_issuer
*/
class cold_gate {
public:
    struct counters {
        std::uint64_t verified{0};     ///< Sent on a verified connection.
        std::uint64_t permitted{0};    ///< Sent under a permit.
        std::uint64_t denied_none{0};  ///< Not sent: not verified and no permit.
        std::uint64_t denied_late{0};  ///< Not sent: the permit had too little time left.
        std::uint64_t news_taken{0};   ///< Statements of holders that were new.
        std::uint64_t news_ignored{0}; ///< Repeated, older, or of a node that does not hold the group.
    };

    cold_gate() = default;

    /** Starts an attempt.
        @param needs_new True if the attempt will use a new connection whatever is idle.
        @return True if a verified connection is likely to be idle; otherwise a permit is needed. */
    bool begin(cold_attempt& it, bool needs_new);

    /** The check before the first byte. False: nothing may be sent. If the attempt had no permit, it may be
        started again with one. */
    bool may_send(cold_attempt& it, std::uint16_t local_port, bool is_new, instant now);

    /** Takes the incarnation and the state named by the answer's head; empty if it names none.
        @return The permit, once the connection is verified and does not need it any more. */
    std::optional<permit_release> on_head(cold_attempt& it, std::string_view upstream_incarnation,
                                          bool reported_cold);

    /** Ends the attempt.
        @return What the holder is told; nothing if there is no permit, or if the upstream may still be at
        work: that permit stays outstanding until it expires. With `permit` 0 it only reports a cold one. */
    std::optional<permit_release> finish(cold_attempt& it, cold_outcome end);

    /** Takes the holders in force by group, from the log. Statements of others are ignored. */
    void set_holders(std::span<const incarnation, group_count> holders);

    /** Takes a statement from gossip or from the own issuer. @return True if it was new. */
    bool on_warm_report(const warm_news& it, instant now);

    /** Statements for a gossip message: up to `most` that arrived within `recent`, and up to `old` random
        others, so that nodes that missed one get it later. */
    [[nodiscard]] std::vector<warm_news> warm_reports(random_source& random, std::size_t most,
                                                      std::size_t old, millis recent, instant now) const;

    /** True if the incarnation is known warm. */
    [[nodiscard]] bool is_warm(std::string_view upstream, std::string_view upstream_incarnation) const;

    /** Upstreams of a group with their incarnations that are known warm, for a new holder. */
    [[nodiscard]] std::vector<std::pair<std::string, std::string>>
    warm_incarnations(std::uint32_t group) const;

    /** Verified connections to an upstream. */
    [[nodiscard]] std::size_t verified_connections(std::string_view upstream) const;

    /** Drops what is known of an upstream that is no longer configured. */
    void forget(std::string_view upstream);

    [[nodiscard]] counters count() const;

private:
    static constexpr std::size_t shard_count = 16; // A multiple of it is `group_count`.

    struct upstream_shard {
        mutable mutex lock;
        string_map<upstream_warm_state> upstreams ABSL_GUARDED_BY(lock);
        std::array<incarnation, group_count / shard_count> holders ABSL_GUARDED_BY(lock);
        counters count ABSL_GUARDED_BY(lock);
    };

    [[nodiscard]] upstream_shard& shard_of(std::string_view upstream) const {
        return shards_[group_of(upstream) % shard_count];
    }

    static bool is_permit_good(const cold_attempt& it, instant now, counters& count);

    mutable std::array<upstream_shard, shard_count> shards_;
};

} // namespace berylcrank
