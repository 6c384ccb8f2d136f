#pragma once

#include "bench/policy/fake_upstream.h"
#include "bench/policy/run_result.h"
#include "modules/berylcrank_routing/berylcrank_routing.h"

#include <array>
#include <memory>

namespace berylcrank::bench {

/** Share of one class in the arrivals. */
struct class_mix {
    std::array<double, request_class_count> load{0, 1, 0}; ///< Offered work per slot, by class.
    std::array<double, request_class_count> work_ms{10, 10, 10};
    std::array<millis, request_class_count> deadline{millis{2000}, millis{2000}, millis{2000}};
};

/** A pool and its callers. */
struct pool_options {
    std::size_t nodes{15};
    std::size_t upstreams{15};
    std::uint32_t slots{4};
    std::size_t failure_domains{3};
    class_mix mix;
    bool is_bimodal{
        false}; ///< One in ten requests takes 5.5 times the mean, the others half; else exponential.
    millis one_way = millis::from_micros(500);
    std::uint32_t shed_at{0};
    double probe_ms{6}; ///< Upstream time of a probe.
    service_config service{.name = "inventario"};
    service_router::options router{};
    bool is_central{false}; ///< One queue for all slots instead of nodes and policies.
    std::uint64_t seed{1};
};

/** Nodes with real routers in front of fake upstreams. */
class fake_pool {
public:
    explicit fake_pool(const pool_options& it);

    /** Starts the arrivals and runs until `end`. */
    void run_until(instant end);

    /** Calls `it` at `when`. */
    void at(instant when, std::function<void()> it) { events_.at(when, std::move(it)); }

    /** Counts only requests that arrive in [from, to). */
    void measure(instant from, instant to) { windows_.emplace_back(from, to); }

    fake_upstream& upstream(std::size_t n) { return *upstreams_[n]; }
    service_router& router(std::size_t n) { return *nodes_[n].router; }
    [[nodiscard]] std::size_t domain_of(std::size_t upstream) const {
        return upstream % options_.failure_domains;
    }

    /** Tells all routers that a failure domain is in use or out. */
    void set_domain_in_use(std::size_t domain, bool in_use);

    /** Called with each finished attempt: node, upstream, good. For the circuit breaker. */
    std::function<void(std::size_t, const std::string&, bool)> on_attempt;

    /** Result by class. */
    [[nodiscard]] const run_result& result(request_class it) const {
        return results_[static_cast<std::size_t>(it)];
    }

    event_queue& events() { return events_; }
    [[nodiscard]] const pool_options& options() const { return options_; }

private:
    struct attempt;
    struct node {
        std::unique_ptr<service_router> router;
    };
    struct call {
        std::size_t node{0};
        request_class cls{request_class::lookup};
        double work_ms{0};
        instant arrived;
        instant deadline;
        bool is_measured{false};
        bool is_done{false};
        int attempts{0};
        int open{0}; ///< Attempts in progress.
        std::vector<std::string> tried;
        std::vector<std::shared_ptr<attempt>> live;
    };
    struct attempt {
        route_grant grant;
        std::size_t upstream{0};
        std::uint64_t number{0};
        bool is_over{false};
    };

    void arrive();
    double draw_work(request_class cls);
    void send(const std::shared_ptr<call>& it, attempt_kind kind);
    void send_central(const std::shared_ptr<call>& it);
    void dispatch(const std::shared_ptr<call>& it, const route_grant& grant);
    void finish(const std::shared_ptr<call>& it, const std::shared_ptr<attempt>& part, upstream_end end,
                const std::optional<load_report>& load);
    void retry(const std::shared_ptr<call>& it, upstream_end end);
    void hedge_later(const std::shared_ptr<call>& it);
    void succeed(const std::shared_ptr<call>& it);
    void fail(const std::shared_ptr<call>& it, bool is_refused);
    void cancel_rest(const std::shared_ptr<call>& it);
    void tick(std::size_t n);
    void probe(std::size_t n);
    void update();
    run_result& result_of(const call& it) { return results_[static_cast<std::size_t>(it.cls)]; }

    pool_options options_;
    event_queue events_;
    seeded_random arrivals_;
    std::vector<std::unique_ptr<fake_upstream>> upstreams_;
    std::unique_ptr<fake_upstream> central_;
    std::vector<node> nodes_;
    std::vector<bool> domain_in_use_;
    std::vector<std::pair<instant, instant>> windows_;
    std::array<run_result, request_class_count> results_;
    double mean_gap_ms_{0};
    bool is_started_{false};
};

} // namespace berylcrank::bench
