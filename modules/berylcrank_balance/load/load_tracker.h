#pragma once

#include "modules/berylcrank_balance/load/load_snapshot.h"

#include <absl/container/flat_hash_map.h>
#include <span>
#include <string>
#include <vector>

namespace berylcrank {

/** Load of each upstream as known to this node: its own requests in flight, those of the other nodes, the
    newest report of the upstream and the outcomes of recent requests.

    Upstreams become slow and fast again within milliseconds, whether the system is busy or not. For this
    reason, reports lose weight with age, and the in-flight counts of all nodes are added up instead of using
    only those of this node.
    @see choose_upstream
*/
class load_tracker {
public:
    /** Time constant of the exponential decay of reported slowness (63 % of the weight is lost). The slowness
        of upstreams on the platform changes several times per second, because of noisy neighbours. */
    static constexpr millis slowness_time_constant{250};
    /** Age above which the request counts of a report are ignored. */
    static constexpr millis report_lifetime{120};
    /** Time constant of the exponential decay (63 % of the weight is lost) of requests from nodes that do not
        report their in-flight counts to this one. It is about the duration of such requests at the upstreams
        of large deployments. */
    static constexpr millis untracked_time_constant{400};
    /** Difference in time that shows which of two events came first. Times of other nodes are late by the
        time that the message took, and responses may be on their way when an upstream ends. */
    static constexpr millis order_margin{100};
    /** Half-life of request outcomes. */
    static constexpr millis outcome_half_life{2000};
    /** First backoff after an upstream could not be reached; doubles up to `max_backoff`. */
    static constexpr millis min_backoff{300};
    /** Longest backoff. */
    static constexpr millis max_backoff{2000};

    /** State of one upstream. */
    struct entry {
        load_snapshot report;
        bool reported{false};
        int own{0};                // this node's requests in flight
        int others{0};             // requests in flight reported by other nodes
        int untracked{0};          // requests in the last report from nodes that do not report their counts
        outcome_count outcomes;    // decayed
        instant outcomes_at;       // last update of `outcomes`
        instant down_until;        // unreachable until then
        millis backoff;            // last backoff; 0 if reachable
        outcome_count unsent;      // outcomes of own requests since the last message to the other nodes
        bool report_unsent{false}; // `report` has not been sent to the other nodes yet
        instant alive_since;       // the upstream has run without a restart from then
        instant responded_at;      // until then, the last time that it is known to have responded
        instant last_full;         // last time that all slots were in use while requests were queued
    };

    /** Returns the entry of an upstream; creates it if there is none. */
    entry& at(std::uint32_t upstream) { return entries_[upstream]; }
    /** Returns the entry of an upstream; null if there is none. */
    [[nodiscard]] const entry* find(std::uint32_t upstream) const;
    /** Removes the entry of an upstream. */
    void forget(std::uint32_t upstream) { entries_.erase(upstream); }

    /** Stores a report unless a newer one is known. If `publish` is set, it is sent on to the other nodes. */
    void report(std::uint32_t upstream, const load_snapshot& it, bool publish);

    /** Adds a request in flight from this node. */
    void sent(std::uint32_t upstream) { ++at(upstream).own; }
    /** Removes a request in flight from this node. */
    void ended(std::uint32_t upstream);

    /** Adds outcomes of requests. If `publish` is set, they are sent on to the other nodes. */
    void outcome(std::uint32_t upstream, outcome_count it, instant now, bool publish);

    /** Marks an upstream as unreachable for the next backoff; no effect during a backoff. */
    void unreachable(std::uint32_t upstream, instant now);
    /** Marks an upstream as reachable after any response, including one to a probe. `connected_at` is the
        start of the connection that carried the response. */
    void reachable(std::uint32_t upstream, instant connected_at, instant now);

    /** Returns whether an upstream is known to have run without a restart from `first` until after `last`. */
    [[nodiscard]] bool ran_through(std::uint32_t upstream, instant first, instant last) const;

    /** Sets whether upstreams also serve nodes that do not report their in-flight counts to this one. */
    void set_has_untracked_nodes(bool it) { has_untracked_nodes_ = it; }

    /** Returns the number of this node's requests in flight at all upstreams. */
    [[nodiscard]] int own_in_flight() const;

    /** Replaces the in-flight counts reported by the node `peer`. */
    void set_peer_in_flight(std::uint64_t peer, std::span<const in_flight_count> counts);

    /** Returns the estimated number of requests in flight from all nodes. */
    [[nodiscard]] int in_flight(const entry& it, instant now) const;

    /** Returns the expected slowness now; `mean` is the mean slowness, to which old reports decay. */
    [[nodiscard]] static double slowness(const entry& it, double mean, instant now);

    /** Returns the share of recent requests that failed, from 0 to 1; 0 if there are no outcomes. */
    [[nodiscard]] static double failure_share(const entry& it, instant now);

    /** Returns the moving average of the slowness in all reports. */
    [[nodiscard]] double mean_slowness() const { return mean_slowness_; }

    /** Returns all entries by upstream number. */
    [[nodiscard]] absl::flat_hash_map<std::uint32_t, entry>& all() { return entries_; }

private:
    static void extend_run(entry& it, instant connected_at, instant when);

    absl::flat_hash_map<std::uint32_t, entry> entries_;
    absl::flat_hash_map<std::uint64_t, std::vector<in_flight_count>> peers_;
    double mean_slowness_{1.5};
    bool has_untracked_nodes_{false};
};

} // namespace berylcrank
