#include "bench/policy/circuit_breaker.h"
#include "bench/policy/scenario.h"

#include <cstdio>
#include <map>

namespace berylcrank::bench {

namespace {

/** Closes and opens the gates of the routers of a pool. */
class breaker_set : public std::enable_shared_from_this<breaker_set> {
public:
    explicit breaker_set(fake_pool& pool) : pool_(pool) {}

    void start() {
        pool_.on_attempt = [self = shared_from_this()](std::size_t node, const std::string& upstream,
                                                       bool is_good) {
            self->on_attempt(node, upstream, is_good);
        };
    }

private:
    void on_attempt(std::size_t node, const std::string& upstream, bool is_good) {
        auto& it = breakers_.try_emplace({node, upstream}, circuit_breaker::options{}).first->second;
        const auto before = it.update(pool_.events().now());
        it.on_end(is_good, pool_.events().now());
        const auto after = it.update(pool_.events().now());
        if (before != after) {
            set_gate(node, upstream, it, after);
        }
    }

    void set_gate(std::size_t node, const std::string& upstream, circuit_breaker& it,
                  circuit_breaker::state state) {
        const auto now = pool_.events().now();
        upstream_gate gate;
        if (state == circuit_breaker::state::open) {
            gate.access = upstream_gate::access_mode::closed;
            pool_.events().after(
                circuit_breaker::options{}.open_time + millis{1}, [this, node, upstream, &it] {
                    if (it.update(pool_.events().now()) == circuit_breaker::state::half_open) {
                        set_gate(node, upstream, it, circuit_breaker::state::half_open);
                    }
                });
        } else if (state == circuit_breaker::state::half_open) {
            gate = {.access = upstream_gate::access_mode::by_permit,
                    .permits = it.trials(),
                    .may_request_permit = false};
        }
        pool_.router(node).set_gate(upstream, gate, now);
    }

    fake_pool& pool_;
    std::map<std::pair<std::size_t, std::string>, circuit_breaker> breakers_;
};

// One upstream answers half of its requests with errors after the full service time, for 3 s of every 6.
void half_errors(fake_pool& pool, instant from, instant to) {
    std::size_t n = 0;
    for (auto at = from; at + millis{6000} < to;
         at = at + millis{6000}, n = (n + 1) % pool.options().upstreams) {
        pool.measure(at, at + millis{4000});
        pool.at(at, [&pool, n] { pool.upstream(n).set({.error_rate = 0.5}); });
        pool.at(at + millis{3000}, [&pool, n] { pool.upstream(n).set({}); });
    }
}

// Errors of 10 % at all upstreams, which no choice can avoid.
void some_errors(fake_pool& pool, instant from, instant to) {
    for (std::size_t n = 0; n < pool.options().upstreams; ++n) {
        pool.upstream(n).set({.error_rate = 0.1});
    }
    pool.measure(from, to);
}

void print_row(const scenario& where, const char* name, policy_kind policy, bool has_outliers,
               bool has_breaker, const bench_options& it) {
    auto with = where;
    if (has_breaker) {
        with.disturb = [inner = where.disturb](fake_pool& pool, instant from, instant to) {
            std::make_shared<breaker_set>(pool)->start();
            inner(pool, from, to);
        };
    }
    const contender who{name, [=](pool_options& options) {
                            options.router.policy = policy;
                            options.router.has_outliers = has_outliers;
                        }};
    const auto runs = run_seeds(who, with, it);
    const auto share = [&](auto count) {
        return figure(runs, [&](const run_result& run) {
            return static_cast<double>(count(run)) / static_cast<double>(run.requests);
        });
    };
    const auto loss = share([](const auto& run) { return run.lost + run.refused + run.late; });
    const auto failed = share([](const auto& run) { return run.attempts - run.latency_ms.size(); });
    const auto p99 = figure(runs, [](const auto& run) { return percentile(run.latency_ms, 0.99); });
    std::printf("| %s | %s | %s | %s | %s | %s |\n", where.name.c_str(),
                std::string(to_string(policy)).c_str(), name, text(loss, 5).c_str(), text(failed, 5).c_str(),
                text(p99, 1).c_str());
    std::fflush(stdout);
}

} // namespace

void report_breaker(const bench_options& it) {
    const auto load = [](double of) {
        return [of](pool_options& options) { options.mix.load = {0, of, 0}; };
    };
    const scenario scenarios[] = {
        {"one upstream fails fast for 2 s", load(0.8), fail_fast},
        {"one upstream errs on half for 3 s", load(0.8), half_errors},
        {"all upstreams err on 10 %", load(0.8), some_errors},
        {"a failure domain leaves and returns", load(0.6), domain_leaves},
    };
    std::printf("\n| situation | policy | handling | lost or refused | failed attempts per request | p99 ms "
                "|\n|---|---|---|---|---|---|\n");
    for (const auto& where : scenarios) {
        for (const auto policy : {policy_kind::least_in_flight, policy_kind::estimated_load}) {
            print_row(where, "none", policy, false, false, it);
            print_row(where, "outlier ejection", policy, true, false, it);
            print_row(where, "circuit breaker", policy, false, true, it);
            print_row(where, "both", policy, true, true, it);
        }
    }
}

} // namespace berylcrank::bench
