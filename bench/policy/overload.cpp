#include "bench/policy/scenario.h"

#include <cstdio>

namespace berylcrank::bench {

namespace {

// At factor 1 the pool has 90 % load: orders 30 %, lookups 40 %, downloads 20 %.
void set_load(pool_options& it, double factor) {
    it.mix.load = {0.3, 0.4 * factor, 0.2 * factor};
    it.mix.work_ms = {10, 10, 50};
    it.mix.deadline = {millis{1000}, millis{500}, millis{5000}};
}

} // namespace

void report_overload(const bench_options& it) {
    const auto all = all_contenders();
    const contender contenders[] = {
        {"power of two, no limits", all[1].set_up},
        {"estimated load, no limits", [](pool_options& options) { options.router.has_limits = false; }},
        {"estimated load, limits and queue", [](pool_options&) {}},
    };
    std::printf("\n| policy | load of lookups and downloads | class | in time | refused | late or lost | p50 "
                "ms | p99 ms "
                "|\n|---|---|---|---|---|---|---|---|\n");
    for (const auto& who : contenders) {
        for (const double factor : {1.0, 3.0}) {
            const scenario where{"overload", [factor](pool_options& options) { set_load(options, factor); },
                                 nullptr};
            for (const auto cls : {request_class::order, request_class::lookup, request_class::download}) {
                const auto runs = run_seeds(who, where, it, cls);
                const auto share = [&](auto count) {
                    return figure(runs, [&](const run_result& run) {
                        return static_cast<double>(count(run)) / static_cast<double>(run.requests);
                    });
                };
                const auto of = [&](double rank) {
                    return text(
                        figure(runs, [&](const auto& run) { return percentile(run.latency_ms, rank); }), 1);
                };
                std::printf("| %s | %.0fx | %s | %s | %.4f | %.4f | %s | %s |\n", who.name.c_str(), factor,
                            std::string(to_string(cls)).c_str(),
                            text(share([](const auto& run) { return run.latency_ms.size(); }), 4).c_str(),
                            share([](const auto& run) { return run.refused; }).median,
                            share([](const auto& run) { return run.late + run.lost; }).median,
                            of(0.5).c_str(), of(0.99).c_str());
                std::fflush(stdout);
            }
        }
    }
}

} // namespace berylcrank::bench
