#include "bench/policy/scenario.h"

#include <cstdio>

namespace berylcrank::bench {

namespace {

// At factor 1 the load of the pool is 90 %: 30 % orders, 40 % lookups and 20 % downloads.
void set_load(pool_options& options, double factor) {
    options.mix.load = {0.3, 0.4 * factor, 0.2 * factor};
    options.mix.mean_service_ms = {10, 10, 50};
    options.mix.timeout = {millis{1000}, millis{500}, millis{5000}};
}

} // namespace

void report_overload(const bench_options& opts) {
    const auto variants = all_policy_variants();
    const policy_variant compared[] = {
        {"power of two, no limits", variants[1].configure},
        {"estimated load, no limits", [](pool_options& options) { options.router.has_limits = false; }},
        {"estimated load, limits and queue", [](pool_options&) {}},
    };
    std::printf("\n| policy | load of lookups and downloads | class | before the deadline | refused | late "
                "or lost | p50 "
                "ms | p99 ms "
                "|\n|---|---|---|---|---|---|---|---|\n");
    for (const auto& variant : compared) {
        for (const double factor : {1.0, 3.0}) {
            const scenario conditions{
                "overload", [factor](pool_options& options) { set_load(options, factor); }, nullptr};
            for (const auto cls : {request_class::order, request_class::lookup, request_class::download}) {
                const auto runs = run_seeds(variant, conditions, opts, cls);
                const auto share = [&](auto count) {
                    return summarize(runs, [&](const run_result& run) {
                        return static_cast<double>(count(run)) / static_cast<double>(run.requests);
                    });
                };
                const auto latency = [&](double rank) {
                    return to_text(
                        summarize(runs, [&](const auto& run) { return percentile(run.latency_ms, rank); }),
                        1);
                };
                std::printf("| %s | %.0fx | %s | %s | %.4f | %.4f | %s | %s |\n", variant.name.c_str(),
                            factor, std::string(to_string(cls)).c_str(),
                            to_text(share([](const auto& run) { return run.latency_ms.size(); }), 4).c_str(),
                            share([](const auto& run) { return run.refused; }).median,
                            share([](const auto& run) { return run.late + run.lost; }).median,
                            latency(0.5).c_str(), latency(0.99).c_str());
                std::fflush(stdout);
            }
        }
    }
}

} // namespace berylcrank::bench
