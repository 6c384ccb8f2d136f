#include "bench/policy/circuit_breaker.h"
#include "bench/policy/scenario.h"

#include <cstdio>
#include <map>

namespace berylcrank::bench {

namespace {

/** Keeps a circuit breaker for each pair of a node and an upstream of a pool. Sets the upstream's gate in the
    node's router when the state of the breaker changes. */
class breaker_set : public std::enable_shared_from_this<breaker_set> {
public:
    explicit breaker_set(fake_pool& pool) : pool_(pool) {}

    void start() {
        pool_.on_attempt = [self = shared_from_this()](std::size_t node, const std::string& upstream,
                                                       bool is_success) {
            self->on_attempt(node, upstream, is_success);
        };
    }

private:
    void on_attempt(std::size_t node, const std::string& upstream, bool is_success) {
        auto& breaker = breakers_.try_emplace({node, upstream}, circuit_breaker::options{}).first->second;
        const auto before = breaker.update(pool_.events().now());
        breaker.record(is_success, pool_.events().now());
        const auto after = breaker.update(pool_.events().now());
        if (before != after) {
            set_gate(node, upstream, breaker, after);
        }
    }

    void set_gate(std::size_t node, const std::string& upstream, circuit_breaker& breaker,
                  circuit_breaker::state state) {
        const auto now = pool_.events().now();
        upstream_gate gate;
        if (state == circuit_breaker::state::open) {
            gate.access = upstream_gate::access_mode::closed;
            pool_.events().run_after(
                circuit_breaker::options{}.open_time + millis{1}, [this, node, upstream, &breaker] {
                    if (breaker.update(pool_.events().now()) == circuit_breaker::state::half_open) {
                        set_gate(node, upstream, breaker, circuit_breaker::state::half_open);
                    }
                });
        } else if (state == circuit_breaker::state::half_open) {
            gate = {.access = upstream_gate::access_mode::by_permit,
                    .permits = breaker.half_open_trials(),
                    .may_request_permit = false};
        }
        pool_.router(node).set_gate(upstream, gate, now);
    }

    fake_pool& pool_;
    std::map<std::pair<std::size_t, std::string>, circuit_breaker> breakers_;
};

// In the first 3 s of every 6 s, one upstream fails half of its requests after the full service time. Each
// period uses the next upstream.
void fail_half_of_requests(fake_pool& pool, instant from, instant to) {
    std::size_t failing = 0;
    for (auto start = from; start + millis{6000} < to;
         start = start + millis{6000}, failing = (failing + 1) % pool.options().upstreams) {
        pool.add_measurement_window(start, start + millis{4000});
        pool.run_at(start, [&pool, failing] { pool.upstream(failing).set({.error_rate = 0.5}); });
        pool.run_at(start + millis{3000}, [&pool, failing] { pool.upstream(failing).set({}); });
    }
}

// All upstreams fail 10 % of their requests, so choosing another upstream does not avoid the errors.
void fail_tenth_of_requests(fake_pool& pool, instant from, instant to) {
    for (std::size_t n = 0; n < pool.options().upstreams; ++n) {
        pool.upstream(n).set({.error_rate = 0.1});
    }
    pool.add_measurement_window(from, to);
}

void print_row(const scenario& conditions, const char* handling, policy_kind policy, bool has_outliers,
               bool has_breaker, const bench_options& opts) {
    auto tested = conditions;
    if (has_breaker) {
        tested.disturb = [inner = conditions.disturb](fake_pool& pool, instant from, instant to) {
            std::make_shared<breaker_set>(pool)->start();
            inner(pool, from, to);
        };
    }
    const policy_variant variant{handling, [=](pool_options& options) {
                                     options.router.policy = policy;
                                     options.router.has_outliers = has_outliers;
                                 }};
    const auto runs = run_seeds(variant, tested, opts);
    const auto share = [&](auto count) {
        return summarize(runs, [&](const run_result& run) {
            return static_cast<double>(count(run)) / static_cast<double>(run.requests);
        });
    };
    const auto unsuccessful = share([](const auto& run) { return run.lost + run.refused + run.late; });
    const auto failed = share([](const auto& run) { return run.attempts - run.latency_ms.size(); });
    const auto p99 = summarize(runs, [](const auto& run) { return percentile(run.latency_ms, 0.99); });
    std::printf("| %s | %s | %s | %s | %s | %s |\n", conditions.name.c_str(),
                std::string(to_string(policy)).c_str(), handling, to_text(unsuccessful, 5).c_str(),
                to_text(failed, 5).c_str(), to_text(p99, 1).c_str());
    std::fflush(stdout);
}

} // namespace

void report_breaker(const bench_options& opts) {
    const auto load = [](double value) {
        return [value](pool_options& options) { options.mix.load = {0, value, 0}; };
    };
    const scenario scenarios[] = {
        {"one upstream fails fast for 2 s", load(0.8), fail_one_upstream},
        {"one upstream fails half of its requests for 3 s", load(0.8), fail_half_of_requests},
        {"all upstreams fail 10 % of their requests", load(0.8), fail_tenth_of_requests},
        {"a failure domain fails and returns", load(0.6), fail_one_domain},
    };
    std::printf("\n| situation | policy | handling | lost or refused | failed attempts per request | p99 ms "
                "|\n|---|---|---|---|---|---|\n");
    for (const auto& conditions : scenarios) {
        for (const auto policy : {policy_kind::least_in_flight, policy_kind::estimated_load}) {
            print_row(conditions, "none", policy, false, false, opts);
            print_row(conditions, "outlier ejection", policy, true, false, opts);
            print_row(conditions, "circuit breaker", policy, false, true, opts);
            print_row(conditions, "both", policy, true, true, opts);
        }
    }
}

} // namespace berylcrank::bench
