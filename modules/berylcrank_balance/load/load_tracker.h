#pragma once

#include "modules/berylcrank_balance/load/load_snapshot.h"

#include <absl/container/flat_hash_map.h>
#include <span>
#include <string>
#include <vector>

namespace berylcrank {

/** What a node knows of the load of each upstream: its own requests in flight, those of the other nodes, the
    newest report of the upstream and how its recent requests ended.

    Answers the load of a calm or busy day on which upstreams turn slow and fast again within milliseconds:
   reports lose their weight with age, and the sum of all nodes' requests replaces each node's own.
    @see upstream_choice
*/
class load_tracker {
public:
    /** Time after which a report of slowness has lost 63 % of its weight. The platform's neighbours change
        several times a second. */
    static constexpr millis slowness_memory{250};
    /** Age from which a report no longer says how many requests run. */
    static constexpr millis report_lifetime{120};
    /** Time in which requests of nodes that tell this one nothing lose 63 % of their weight. Such requests
       take about as long at the upstreams that large deployments have. */
    static constexpr millis foreign_memory{400};
    /** Time within which results of requests lose half of their weight. */
    static constexpr millis outcome_half_life{2000};
    /** First and longest pause after an upstream could not be reached. */
    static constexpr millis first_pause{300};
    static constexpr millis longest_pause{2000};

    /** What is known of one upstream. */
    struct entry {
        load_snapshot report;
        bool reported{false};
        int own{0};
        int others{0};
        int foreign{0};         // requests of the last report that no node that tells this one had sent
        outcome_count outcomes; // decayed
        instant outcomes_at;
        instant down_until; // not reachable before this moment
        millis pause;
        outcome_count unsent; // results of own requests since the last message to the other nodes
        bool report_unsent{false};
        instant seen_full; // when a choice last found all slots taken while requests waited
    };

    /** The entry of an upstream, made if new. */
    entry& at(std::uint32_t upstream) { return entries_[upstream]; }
    [[nodiscard]] const entry* find(std::uint32_t upstream) const;
    void forget(std::uint32_t upstream) { entries_.erase(upstream); }

    /** Takes a report unless a newer one is known. `own_news`: it is to be passed on to the other nodes. */
    void report(std::uint32_t upstream, const load_snapshot& it, bool own_news);

    /** Counts a request in flight of this node. */
    void sent(std::uint32_t upstream) { ++at(upstream).own; }
    void ended(std::uint32_t upstream);

    /** Takes results of requests; `own_news` as above. */
    void outcome(std::uint32_t upstream, outcome_count it, instant now, bool own_news);

    /** The upstream could not be reached. */
    void unreachable(std::uint32_t upstream, instant now);
    /** The upstream answered, if only to a probe. */
    void reachable(std::uint32_t upstream);

    /** Whether upstreams also serve nodes that do not tell this one what they have in flight. */
    void set_has_untracked_nodes(bool it) { has_untracked_nodes_ = it; }

    /** Replaces the requests in flight that the node `peer` told of. */
    void set_peer_in_flight(std::uint64_t peer, std::span<const in_flight_count> counts);

    /** Requests in flight from all nodes, as far as known. */
    [[nodiscard]] int in_flight(const entry& it, instant now) const;

    /** Expected slowness now; `usual` is the mean over the service. */
    [[nodiscard]] static double slowness(const entry& it, double usual, instant now);

    /** Share of recent requests that failed, 0 to 1; near 0 without results. */
    [[nodiscard]] static double failure_share(const entry& it, instant now);

    /** Mean slowness of the reports of a service's upstreams. */
    [[nodiscard]] double mean_slowness() const { return mean_slowness_; }

    [[nodiscard]] absl::flat_hash_map<std::uint32_t, entry>& all() { return entries_; }

private:
    absl::flat_hash_map<std::uint32_t, entry> entries_;
    absl::flat_hash_map<std::uint64_t, std::vector<in_flight_count>> peers_;
    double mean_slowness_{1.5};
    bool has_untracked_nodes_{false};
};

} // namespace berylcrank
