#include "bench/policy/scenario.h"

#include <cstdio>

namespace berylcrank::bench {

namespace {

void print_rows(const scenario& where, const bench_options& it) {
    for (const double percent : {0.0, 0.5, 1.0, 2.0}) {
        const contender who{
            "", [percent](pool_options& options) { options.service.probe_budget_percent = percent; }};
        const auto runs = run_seeds(who, where, it);
        const auto cost = figure(runs, [&](const run_result& run) {
            const pool_options options;
            const double seconds = (it.duration + warm_up + cool_down).value() / 1000;
            return static_cast<double>(run.probes) * options.probe_ms / seconds /
                   static_cast<double>(options.upstreams);
        });
        const auto of = [&](double share) {
            return text(figure(runs, [&](const auto& run) { return percentile(run.latency_ms, share); }), 1);
        };
        std::printf("| %s | %.1f %% | %.1f | %s | %s | %s | %s |\n", where.name.c_str(), percent,
                    percent * 10, text(cost, 2).c_str(), of(0.5).c_str(), of(0.99).c_str(),
                    of(0.999).c_str());
        std::fflush(stdout);
    }
}

} // namespace

void report_probing(const bench_options& it) {
    const auto load = [](pool_options& options) { options.mix.load = {0, 0.9, 0}; };
    std::printf(
        "\n| situation | budget | budget, upstream ms/s | cost, upstream ms/s | p50 ms | p99 ms | p99.9 ms "
        "|\n|---|---|---|---|---|---|---|\n");
    print_rows({"undisturbed", load, nullptr}, it);
    print_rows({"one upstream slowed 10x for 200 ms", load, slow_one}, it);
}

} // namespace berylcrank::bench
