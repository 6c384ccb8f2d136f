#include "bench/policy/scenario.h"

#include <cstdio>

namespace berylcrank::bench {

namespace {

void stale_reports(fake_pool& pool, instant from, instant to) {
    for (std::size_t n = 0; n < pool.options().upstreams; ++n) {
        pool.upstream(n).set({.report_age = millis{500}});
    }
    pool.add_measurement_window(from, to);
}

void no_load_reports(fake_pool& pool, instant from, instant to) {
    for (std::size_t n = 0; n < pool.options().upstreams; n += 5) {
        pool.upstream(n).set({.reports_no_load = true});
    }
    pool.add_measurement_window(from, to);
}

void set_domain_behaviour(fake_pool& pool, std::size_t domain, const fake_upstream::behaviour& next) {
    for (std::size_t n = 0; n < pool.options().upstreams; ++n) {
        if (pool.domain_of(n) == domain) {
            pool.upstream(n).set(next);
        }
    }
}

} // namespace

// Each measurement window includes the time after the disturbance in which the backlog drains.
void slow_down_one_upstream(fake_pool& pool, instant from, instant to) {
    std::size_t n = 0;
    for (auto start = from; start + millis{2000} < to;
         start = start + millis{2000}, n = (n + 1) % pool.options().upstreams) {
        pool.add_measurement_window(start, start + millis{400});
        pool.run_at(start, [&pool, n] { pool.upstream(n).set({.slowdown = 10}); });
        pool.run_at(start + millis{200}, [&pool, n] { pool.upstream(n).set({}); });
    }
}

void fail_one_upstream(fake_pool& pool, instant from, instant to) {
    std::size_t n = 0;
    for (auto start = from; start + millis{5000} < to;
         start = start + millis{5000}, n = (n + 1) % pool.options().upstreams) {
        pool.add_measurement_window(start, start + millis{2200});
        pool.run_at(start, [&pool, n] { pool.upstream(n).set({.fails_fast = true}); });
        pool.run_at(start + millis{2000}, [&pool, n] { pool.upstream(n).set({}); });
    }
}

// The domain fails. A ticket takes it out of use after 1 s and puts it back into use 3 s later.
void fail_one_domain(fake_pool& pool, instant from, instant to) {
    std::size_t n = 0;
    for (auto start = from; start + millis{8000} < to;
         start = start + millis{8000}, n = (n + 1) % pool.options().failure_domains) {
        pool.add_measurement_window(start, start + millis{5000});
        pool.run_at(start, [&pool, n] { set_domain_behaviour(pool, n, {.is_down = true}); });
        pool.run_at(start + millis{1000}, [&pool, n] { pool.set_domain_in_use(n, false); });
        pool.run_at(start + millis{3500}, [&pool, n] { set_domain_behaviour(pool, n, {}); });
        pool.run_at(start + millis{4000}, [&pool, n] { pool.set_domain_in_use(n, true); });
    }
}

namespace {

std::vector<scenario> all_scenarios() {
    const auto load = [](double value) {
        return [value](pool_options& options) { options.mix.load = {0, value, 0}; };
    };
    return {
        {"undisturbed", load(0.9), nullptr},
        {"one upstream slowed 10x for 200 ms", load(0.9), slow_down_one_upstream},
        {"reports 500 ms stale", load(0.9), stale_reports},
        {"3 of 15 upstreams report no load", load(0.9), no_load_reports},
        {"one upstream fails fast for 2 s", load(0.9), fail_one_upstream},
        // While the domain is out of use, the other two have 90 % load.
        {"a failure domain (5 of 15) fails and returns", load(0.6), fail_one_domain},
    };
}

} // namespace

void report_disturbances(const bench_options& opts) {
    for (const auto& conditions : all_scenarios()) {
        std::printf(
            "\n%s\n\n| policy | p50 ms | p99 ms | p99.9 ms | queueing p99 ms | lost or refused | "
            "p99 / p99 of power of two | loss / loss of power of two |\n|---|---|---|---|---|---|---|---|\n",
            conditions.name.c_str());
        std::vector<run_result> reference;
        for (const auto& variant : all_policy_variants()) {
            const auto runs = run_seeds(variant, conditions, opts);
            const auto p99 = [](const run_result& run) { return percentile(run.latency_ms, 0.99); };
            const auto loss = [](const run_result& run) {
                return static_cast<double>(run.lost + run.refused + run.late) /
                       static_cast<double>(run.requests);
            };
            if (variant.name == "power of two") {
                reference = runs;
            }
            std::printf(
                "| %s | %s | %s | %s | %s | %.5f ", variant.name.c_str(),
                to_text(summarize(runs, [](const auto& run) { return percentile(run.latency_ms, 0.5); }), 1)
                    .c_str(),
                to_text(summarize(runs, p99), 1).c_str(),
                to_text(summarize(runs, [](const auto& run) { return percentile(run.latency_ms, 0.999); }), 1)
                    .c_str(),
                to_text(summarize(runs, [](const auto& run) { return percentile(run.queueing_ms, 0.99); }), 1)
                    .c_str(),
                summarize(runs, loss).median);
            if (reference.empty()) {
                std::printf("| | |\n");
                continue;
            }
            const double reference_loss = summarize(reference, loss).median;
            std::printf("| %.2f | ", summarize(runs, p99).median / summarize(reference, p99).median);
            reference_loss > 0 ? std::printf("%.2f |\n", summarize(runs, loss).median / reference_loss)
                               : std::printf("- |\n");
            std::fflush(stdout);
        }
    }
}

} // namespace berylcrank::bench
