#include "bench/policy/scenario.h"

#include <cstdio>

namespace berylcrank::bench {

namespace {

void stale_reports(fake_pool& pool, instant from, instant to) {
    for (std::size_t n = 0; n < pool.options().upstreams; ++n) {
        pool.upstream(n).set({.report_age = millis{500}});
    }
    pool.measure(from, to);
}

void lying_reports(fake_pool& pool, instant from, instant to) {
    for (std::size_t n = 0; n < pool.options().upstreams; n += 5) {
        pool.upstream(n).set({.lies = true});
    }
    pool.measure(from, to);
}

void set_domain(fake_pool& pool, std::size_t domain, const fake_upstream::behaviour& it) {
    for (std::size_t n = 0; n < pool.options().upstreams; ++n) {
        if (pool.domain_of(n) == domain) {
            pool.upstream(n).set(it);
        }
    }
}

} // namespace

// Each window includes the time after the disturbance in which its backlog is worked off.
void slow_one(fake_pool& pool, instant from, instant to) {
    std::size_t n = 0;
    for (auto at = from; at + millis{2000} < to;
         at = at + millis{2000}, n = (n + 1) % pool.options().upstreams) {
        pool.measure(at, at + millis{400});
        pool.at(at, [&pool, n] { pool.upstream(n).set({.slowdown = 10}); });
        pool.at(at + millis{200}, [&pool, n] { pool.upstream(n).set({}); });
    }
}

void fail_fast(fake_pool& pool, instant from, instant to) {
    std::size_t n = 0;
    for (auto at = from; at + millis{5000} < to;
         at = at + millis{5000}, n = (n + 1) % pool.options().upstreams) {
        pool.measure(at, at + millis{2200});
        pool.at(at, [&pool, n] { pool.upstream(n).set({.fails_fast = true}); });
        pool.at(at + millis{2000}, [&pool, n] { pool.upstream(n).set({}); });
    }
}

// The domain fails; a ticket takes it out after 1 s and brings it back 3 s after that.
void domain_leaves(fake_pool& pool, instant from, instant to) {
    std::size_t n = 0;
    for (auto at = from; at + millis{8000} < to;
         at = at + millis{8000}, n = (n + 1) % pool.options().failure_domains) {
        pool.measure(at, at + millis{5000});
        pool.at(at, [&pool, n] { set_domain(pool, n, {.is_down = true}); });
        pool.at(at + millis{1000}, [&pool, n] { pool.set_domain_in_use(n, false); });
        pool.at(at + millis{3500}, [&pool, n] { set_domain(pool, n, {}); });
        pool.at(at + millis{4000}, [&pool, n] { pool.set_domain_in_use(n, true); });
    }
}

namespace {

std::vector<scenario> all_scenarios() {
    const auto load = [](double it) {
        return [it](pool_options& options) { options.mix.load = {0, it, 0}; };
    };
    return {
        {"undisturbed", load(0.9), nullptr},
        {"one upstream slowed 10x for 200 ms", load(0.9), slow_one},
        {"reports 500 ms stale", load(0.9), stale_reports},
        {"3 of 15 upstreams report no load", load(0.9), lying_reports},
        {"one upstream fails fast for 2 s", load(0.9), fail_fast},
        // The two domains that stay have 90 % load.
        {"a failure domain (5 of 15) leaves and returns", load(0.6), domain_leaves},
    };
}

} // namespace

void report_disturbances(const bench_options& it) {
    for (const auto& where : all_scenarios()) {
        std::printf("\n%s\n\n| policy | p50 ms | p99 ms | p99.9 ms | queueing p99 ms | lost or refused | "
                    "p99 / power of two's | loss / power of two's |\n|---|---|---|---|---|---|---|---|\n",
                    where.name.c_str());
        std::vector<run_result> reference;
        for (const auto& who : all_contenders()) {
            const auto runs = run_seeds(who, where, it);
            const auto p99 = [](const run_result& run) { return percentile(run.latency_ms, 0.99); };
            const auto loss = [](const run_result& run) {
                return static_cast<double>(run.lost + run.refused + run.late) /
                       static_cast<double>(run.requests);
            };
            if (who.name == "power of two") {
                reference = runs;
            }
            std::printf(
                "| %s | %s | %s | %s | %s | %.5f ", who.name.c_str(),
                text(figure(runs, [](const auto& run) { return percentile(run.latency_ms, 0.5); }), 1)
                    .c_str(),
                text(figure(runs, p99), 1).c_str(),
                text(figure(runs, [](const auto& run) { return percentile(run.latency_ms, 0.999); }), 1)
                    .c_str(),
                text(figure(runs, [](const auto& run) { return percentile(run.queueing_ms, 0.99); }), 1)
                    .c_str(),
                figure(runs, loss).median);
            if (reference.empty()) {
                std::printf("| | |\n");
                continue;
            }
            const double base_loss = figure(reference, loss).median;
            std::printf("| %.2f | ", figure(runs, p99).median / figure(reference, p99).median);
            base_loss > 0 ? std::printf("%.2f |\n", figure(runs, loss).median / base_loss)
                          : std::printf("- |\n");
            std::fflush(stdout);
        }
    }
}

} // namespace berylcrank::bench
