#pragma once

#include "bench/policy/fake_upstream.h"
#include "bench/policy/run_result.h"
#include "modules/berylcrank_routing/berylcrank_routing.h"

#include <array>
#include <memory>

namespace berylcrank::bench {

/** Offered load, mean service time and timeout of each request class. */
struct class_mix {
    std::array<double, request_class_count> load{0, 1, 0}; ///< Offered load; at 1, all slots are busy.
    std::array<double, request_class_count> mean_service_ms{10, 10, 10};
    std::array<millis, request_class_count> timeout{millis{2000}, millis{2000}, millis{2000}};
};

/** Options of a pool and of the requests of its callers. */
struct pool_options {
    std::size_t nodes{15};
    std::size_t upstreams{15};
    std::uint32_t slots{4};
    std::size_t failure_domains{3};
    class_mix mix;
    /** If true, one in ten requests takes 5.5 times the mean service time, and the others take half of it. If
        false, service times are exponentially distributed. */
    bool is_bimodal{false};
    millis one_way_delay = millis::from_micros(500); ///< Network delay between a node and an upstream.
    std::uint32_t shed_threshold{0};                 ///< @see fake_upstream::behaviour
    double probe_ms{6};                              ///< Service time of a probe at the upstream.
    service_config service{.name = "inventario"};
    service_router::options router{};
    bool has_central_queue{false}; ///< One queue in front of all slots, without nodes and policies.
    std::uint64_t seed{1};
};

/** Simulates nodes with real service routers in front of fake upstreams. */
class fake_pool {
public:
    explicit fake_pool(const pool_options& opts);

    /** Runs the simulation until `end`. The first call starts the arrivals. */
    void run_until(instant end);

    /** Runs `work` at `time`. */
    void run_at(instant time, std::function<void()> work) { events_.run_at(time, std::move(work)); }

    /** Adds a measurement window. Only requests that arrive in a window [from, to) are counted. Probes are
        always counted. */
    void add_measurement_window(instant from, instant to) { measurement_windows_.emplace_back(from, to); }

    fake_upstream& upstream(std::size_t n) { return *upstreams_[n]; }
    service_router& router(std::size_t n) { return *nodes_[n].router; }
    [[nodiscard]] std::size_t domain_of(std::size_t upstream) const {
        return upstream % options_.failure_domains;
    }

    /** Takes a failure domain out of use or returns it to use, at all routers. */
    void set_domain_in_use(std::size_t domain, bool in_use);

    /** Called with the node, the upstream and whether the attempt succeeded, when an attempt ends without
        being cancelled. Used by the circuit breaker. */
    std::function<void(std::size_t, const std::string&, bool)> on_attempt;

    /** Returns the measurements of one request class. */
    [[nodiscard]] const run_result& result(request_class cls) const {
        return results_[static_cast<std::size_t>(cls)];
    }

    event_queue& events() { return events_; }
    [[nodiscard]] const pool_options& options() const { return options_; }

private:
    struct attempt_state;
    struct simulated_node {
        std::unique_ptr<service_router> router;
    };
    struct pending_request {
        std::size_t node{0};
        request_class cls{request_class::lookup};
        double service_ms{0};
        instant arrived;
        instant deadline;
        bool is_measured{false};
        bool is_done{false};
        int attempt_count{0};
        int open_attempts{0}; ///< Attempts that wait for a grant or are in flight.
        std::vector<std::string> tried_upstreams;
        std::vector<std::shared_ptr<attempt_state>> attempts;
    };
    struct attempt_state {
        route_grant grant;
        std::size_t upstream{0};
        std::uint64_t number{0};
        bool is_finished{false};
    };

    void on_arrival();
    double draw_service_ms(request_class cls);
    void send(const std::shared_ptr<pending_request>& request, attempt_kind kind);
    void send_to_central_queue(const std::shared_ptr<pending_request>& request);
    void dispatch(const std::shared_ptr<pending_request>& request, const route_grant& grant);
    void finish(const std::shared_ptr<pending_request>& request,
                const std::shared_ptr<attempt_state>& attempt, upstream_outcome outcome,
                const std::optional<load_report>& load);
    void retry(const std::shared_ptr<pending_request>& request, upstream_outcome outcome);
    void schedule_hedge(const std::shared_ptr<pending_request>& request);
    void succeed(const std::shared_ptr<pending_request>& request);
    void fail(const std::shared_ptr<pending_request>& request, bool is_refused);
    void cancel_other_attempts(const std::shared_ptr<pending_request>& request);
    void tick(std::size_t node);
    void probe(std::size_t node);
    void update_routers();
    run_result& result_of(const pending_request& request) {
        return results_[static_cast<std::size_t>(request.cls)];
    }

    pool_options options_;
    event_queue events_;
    seeded_random arrivals_;
    std::vector<std::unique_ptr<fake_upstream>> upstreams_;
    std::unique_ptr<fake_upstream> central_queue_;
    std::vector<simulated_node> nodes_;
    std::vector<bool> domain_in_use_;
    std::vector<std::pair<instant, instant>> measurement_windows_;
    std::array<run_result, request_class_count> results_;
    double mean_interval_ms_{0};
    bool is_started_{false};
};

} // namespace berylcrank::bench
