#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_routing/limits/admission_queue.h"
#include "modules/berylcrank_routing/policy/upstream_policy.h"
#include "modules/berylcrank_routing/retry/retry_budget.h"
#include "modules/berylcrank_routing/service/upstream_state.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <memory>
#include <span>
#include <string_view>

namespace berylcrank {

/** An upstream from the configuration. @see service_router::update */
struct routed_upstream {
    upstream_config config;
    bool is_domain_in_use{true};
};

/** Routing of one service at one node: choice, limits, queue, budgets, outliers, probes.

    Thread-safe behind one lock. Callbacks come without the lock held, on the thread whose call caused them;
   they may call back into the router. Times must not go backwards by more than the callers' scheduling.
    @see route_request, route_grant
*/
class service_router {
public:
    struct options {
        std::uint64_t node{1}; ///< Identifies the node in subsets; hash of the vm name.
        std::uint64_t seed{1}; ///< Of the random choices; differs between nodes.
        policy_kind policy{policy_kind::estimated_load};
        std::uint32_t max_nodes{17}; ///< Divides shared budgets.
        std::size_t subset_size{64}; ///< Upstreams that this node uses at most.
        std::size_t sample_size{16}; ///< Upstreams looked at for one choice.
        millis probe_cost{6};
        bool has_limits{true};   ///< False leaves out adaptive limits, for comparison.
        bool has_outliers{true}; ///< False leaves out ejection, for comparison.
        upstream_stats::options stats{};
        outlier_detector::options outlier{};
    };

    service_router(const service_config& service, const options& it);

    /** Refuses all that wait. */
    ~service_router();

    service_router(const service_router&) = delete;
    service_router& operator=(const service_router&) = delete;

    /** Takes the configuration in force. Upstreams that are no longer in it get no new work and are forgotten
        after their last release. */
    void update(const service_config& service, std::span<const routed_upstream> upstreams, instant now);

    /** Asks for an upstream. `done` comes once, perhaps before the return. Returns a number for `cancel`. */
    std::uint64_t acquire(route_request it, route_callback done, instant now);

    /** Takes a waiting request out; its callback is dropped. False if it does not wait any more. */
    bool cancel(std::uint64_t number);

    /** Gives an upstream back. Each grant is released once. */
    void release(const route_grant& it, attempt_outcome outcome, instant now);

    /** The load carried on an answer; called before the grant's release, and `in_flight` includes the
       answered request. */
    void report_load(const route_grant& from, const load_report& it, instant now);

    /** Sets whether an upstream may be given; unknown names are ignored. */
    void set_gate(std::string_view upstream, const upstream_gate& it, instant now);

    /** An upstream to probe now, inside the budget; null if there is none. @see probe_done */
    std::shared_ptr<const upstream_config> next_probe(instant now);

    /** A probe ended; `it` is empty if it failed. */
    void probe_done(std::string_view upstream, const std::optional<load_report>& it, millis took,
                    instant now);

    /** Refuses requests whose deadline has passed in the queue and serves the queue; call every 5 to 20 ms.
     */
    void tick(instant now);

    /** A copy of counters and gauges. */
    [[nodiscard]] routing_stats stats(instant now) const;

    /** The state of one upstream as the policy sees it; nothing if unknown. */
    [[nodiscard]] std::optional<candidate_view> view(std::string_view upstream, instant now) const;

    /** Mean latency of the service; 0 before the first answer. */
    [[nodiscard]] millis expected_latency() const;

    /** Time after which 95 in 100 answers have come: when to hedge; nothing before the first answer. */
    [[nodiscard]] std::optional<millis> hedge_delay() const;

private:
    using call = std::pair<route_callback, route_result>; // made after unlocking
    using calls = std::vector<call>;
    struct waiting_request {
        route_request request;
        route_callback done;
    };
    enum class tier : std::uint8_t { open, by_permit, ejected, busy, absent };
    struct pick {
        upstream_state* chosen{nullptr};
        bool is_busy{false}; ///< Without a choice: some upstream is only at its limit.
    };

    upstream_state& take_in(const routed_upstream& it, instant now);
    void take_service(const service_config& it);
    void drop_all_but(const absl::flat_hash_set<std::uint32_t>& kept);
    void admit(std::uint64_t number, route_request it, route_callback done, instant now, calls& out);
    void enqueue(std::uint64_t number, route_request it, route_callback done, instant now, calls& out);
    void refuse(refusal_reason why, const route_request& it, route_callback done, calls& out);
    void refuse_waiting(std::uint64_t number, refusal_reason why, calls& out);
    bool spend_budget(const route_request& it);
    void give_back_budget(const route_request& it);
    pick choose(const route_request& it, instant now);
    upstream_state* choose_picked(instant now);
    void sample();
    [[nodiscard]] tier tier_of(const upstream_state& it, const route_request& request, instant now) const;
    route_grant grant(upstream_state& to, std::uint64_t number, const route_request& it, instant now);
    void learn(upstream_state& from, attempt_outcome outcome, millis latency, instant now);
    void learn_failure(upstream_state& from, attempt_outcome outcome, instant now);
    void serve_queue(instant now, calls& out);
    void forget(std::uint32_t id);
    upstream_state* find(std::string_view upstream);
    [[nodiscard]] const upstream_state* find(std::string_view upstream) const;
    std::unique_ptr<upstream_state> make_state(const upstream_config& it, instant now);
    [[nodiscard]] static adaptive_limit::options limit_options(double slots);
    static void run(calls& it);

    options options_;
    mutable mutex mutex_;
    service_config service_;
    seeded_random random_;
    std::unique_ptr<upstream_policy> policy_;
    absl::flat_hash_map<std::uint32_t, std::unique_ptr<upstream_state>> states_;
    absl::flat_hash_map<std::string, std::uint32_t> by_name_;
    std::vector<upstream_state*> usable_; ///< Permuted by sampling.
    std::vector<upstream_state*> picked_; ///< Reused by each choice.
    std::vector<candidate_view> views_;   ///< Reused by each choice.
    service_baseline base_;
    adaptive_limit total_limit_;
    admission_queue queue_;
    absl::flat_hash_map<std::uint64_t, waiting_request> waiting_;
    retry_budget retries_;
    retry_budget hedges_;
    routing_stats stats_;
    std::uint64_t next_number_{1};
    std::uint32_t next_id_{1};
};

} // namespace berylcrank
