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

/** An upstream with its configuration. @see service_router::update */
struct routed_upstream {
    upstream_config config;
    bool is_domain_in_use{true};
};

/** Routes the requests of one service at one node. Combines the load balancing policy, concurrency limits,
    admission queue, retry and hedge budgets, outlier detection and probes.

    Thread-safe, with one lock. Callbacks run without the lock, on the thread whose call caused them, and
    may call the router again. Times passed by concurrent callers may be out of order by scheduling delays,
    but not by more.
    @see route_request, route_grant
*/
class service_router {
public:
    struct options {
        std::uint64_t node{1}; ///< Identifies the node in subsets; hash of the vm name.
        std::uint64_t seed{1}; ///< Seed of the random choices; differs between nodes.
        policy_kind policy{policy_kind::estimated_load};
        std::uint32_t max_nodes{17}; ///< Nodes that shared budgets are divided by.
        std::size_t subset_size{64}; ///< Maximum number of upstreams that this node uses.
        std::size_t sample_size{16}; ///< Upstreams considered for one selection.
        millis probe_cost{6};
        bool has_limits{true};   ///< If false, there are no adaptive limits; for comparison in benchmarks.
        bool has_outliers{true}; ///< If false, there is no outlier ejection; for comparison in benchmarks.
        upstream_stats::options stats{};
        outlier_detector::options outlier{};
    };

    service_router(const service_config& service, const options& opts);

    /** Refuses all queued requests. */
    ~service_router();

    service_router(const service_router&) = delete;
    service_router& operator=(const service_router&) = delete;

    /** Applies a new configuration. Upstreams that are no longer in it get no new requests and are erased
        after their last release. */
    void update(const service_config& service, std::span<const routed_upstream> upstreams, instant now);

    /** Requests an upstream. `done` is called exactly once, possibly before this returns.
        @return A number for `cancel`. */
    std::uint64_t acquire(route_request request, route_callback done, instant now);

    /** Removes a queued request without calling its callback. Returns false if it is not queued. */
    bool cancel(std::uint64_t number);

    /** Releases an upstream. Call exactly once for each grant. */
    void release(const route_grant& grant, attempt_outcome outcome, instant now);

    /** Records the load report of a response. Call before the grant is released; `in_flight` of the report
        includes the request. */
    void report_load(const route_grant& grant, const load_report& report, instant now);

    /** Sets whether an upstream may be selected. Unknown upstreams are ignored. */
    void set_gate(std::string_view upstream, const upstream_gate& gate, instant now);

    /** Returns an upstream to probe now within the probe budget, or null. @see probe_done */
    std::shared_ptr<const upstream_config> next_probe(instant now);

    /** Records the end of a probe. `report` is empty if it failed. */
    void probe_done(std::string_view upstream, const std::optional<load_report>& report, millis duration,
                    instant now);

    /** Refuses queued requests whose deadline has passed and serves the queue. Call every 5 to 20 ms. */
    void tick(instant now);

    /** A snapshot of the counters and gauges. */
    [[nodiscard]] routing_stats stats(instant now) const;

    /** The state of one upstream as passed to the policy; nothing if the upstream is unknown. */
    [[nodiscard]] std::optional<candidate_view> view(std::string_view upstream, instant now) const;

    /** Mean latency of the service; 0 before the first response. */
    [[nodiscard]] millis expected_latency() const;

    /** Delay before a hedge: the 95th percentile of the latency; nothing before the first response. */
    [[nodiscard]] std::optional<millis> hedge_delay() const;

private:
    using pending_callback = std::pair<route_callback, route_result>; // called after the lock is released
    using callback_list = std::vector<pending_callback>;
    struct waiting_request {
        route_request request;
        route_callback done;
    };
    enum class availability : std::uint8_t { open, by_permit, ejected, busy, unavailable };
    struct selection {
        upstream_state* chosen{nullptr};
        bool is_busy{false}; ///< Nothing was chosen, but some upstream or the service is at its limit.
    };

    upstream_state& update_upstream(const routed_upstream& upstream, instant now);
    void update_service(const service_config& service);
    void remove_all_except(const absl::flat_hash_set<std::uint32_t>& kept);
    void admit(std::uint64_t number, route_request request, route_callback done, instant now,
               callback_list& out);
    void enqueue(std::uint64_t number, route_request request, route_callback done, instant now,
                 callback_list& out);
    void refuse(refusal_reason reason, const route_request& request, route_callback done, callback_list& out);
    void refuse_waiting(std::uint64_t number, refusal_reason reason, callback_list& out);
    bool spend_budget(const route_request& request);
    void refund_budget(const route_request& request);
    selection choose(const route_request& request, instant now);
    upstream_state* choose_candidate(instant now);
    void sample();
    [[nodiscard]] availability availability_of(const upstream_state& upstream, const route_request& request,
                                               instant now) const;
    route_grant grant(upstream_state& upstream, std::uint64_t number, const route_request& request,
                      instant now);
    void record_outcome(upstream_state& upstream, attempt_outcome outcome, millis latency, instant now);
    void record_failure(upstream_state& upstream, attempt_outcome outcome, instant now);
    void serve_queue(instant now, callback_list& out);
    void erase_upstream(std::uint32_t id);
    upstream_state* find(std::string_view upstream);
    [[nodiscard]] const upstream_state* find(std::string_view upstream) const;
    std::unique_ptr<upstream_state> make_state(const upstream_config& config, instant now);
    [[nodiscard]] static adaptive_limit::options limit_options(double slots);
    static void run_callbacks(callback_list& callbacks);

    options options_;
    mutable mutex mutex_;
    service_config service_;
    seeded_random random_;
    std::unique_ptr<upstream_policy> policy_;
    absl::flat_hash_map<std::uint32_t, std::unique_ptr<upstream_state>> states_; ///< By upstream id.
    absl::flat_hash_map<std::string, std::uint32_t> by_name_;                    ///< Upstream ids.
    std::vector<upstream_state*> usable_;                                        ///< Permuted by sampling.
    std::vector<upstream_state*> candidates_; ///< Reused by each selection.
    std::vector<candidate_view> views_;       ///< Reused by each selection.
    service_baseline baseline_;
    adaptive_limit total_limit_;
    admission_queue queue_;
    absl::flat_hash_map<std::uint64_t, waiting_request> waiting_; ///< By number; those in `queue_`.
    retry_budget retries_;
    retry_budget hedges_;
    routing_stats stats_;
    std::uint64_t next_number_{1};
    std::uint32_t next_id_{1};
};

} // namespace berylcrank
