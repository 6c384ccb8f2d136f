#include "bench/policy/scenario.h"

#include <cstdio>

namespace berylcrank::bench {

namespace {

void print_rows(const scenario& conditions, const bench_options& opts) {
    for (const double percent : {0.0, 0.5, 1.0, 2.0}) {
        const policy_variant variant{
            "", [percent](pool_options& options) { options.service.probe_budget_percent = percent; }};
        const auto runs = run_seeds(variant, conditions, opts);
        const auto cost = summarize(runs, [&](const run_result& run) {
            const pool_options options;
            const double seconds = (opts.duration + warm_up + cool_down).value() / 1000;
            return static_cast<double>(run.probes) * options.probe_ms / seconds /
                   static_cast<double>(options.upstreams);
        });
        const auto latency = [&](double share) {
            return to_text(
                summarize(runs, [&](const auto& run) { return percentile(run.latency_ms, share); }), 1);
        };
        std::printf("| %s | %.1f %% | %.1f | %s | %s | %s | %s |\n", conditions.name.c_str(), percent,
                    percent * 10, to_text(cost, 2).c_str(), latency(0.5).c_str(), latency(0.99).c_str(),
                    latency(0.999).c_str());
        std::fflush(stdout);
    }
}

} // namespace

void report_probing(const bench_options& opts) {
    const auto load = [](pool_options& options) { options.mix.load = {0, 0.9, 0}; };
    std::printf(
        "\n| situation | budget | budget, upstream ms/s | cost, upstream ms/s | p50 ms | p99 ms | p99.9 ms "
        "|\n|---|---|---|---|---|---|---|\n");
    print_rows({"undisturbed", load, nullptr}, opts);
    print_rows({"one upstream slowed 10x for 200 ms", load, slow_down_one_upstream}, opts);
}

} // namespace berylcrank::bench
