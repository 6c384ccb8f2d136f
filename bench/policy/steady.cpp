#include "bench/policy/scenario.h"

#include <cstdio>

namespace berylcrank::bench {

namespace {

struct service_size {
    const char* name;
    std::size_t upstreams;
    std::uint32_t slots;
    std::size_t failure_domains;
};

constexpr service_size sizes[] = {{"inventario, pedidos", 15, 4, 3},
                                  {"planos", 5, 4, 3},
                                  {"rendeles", 15, 6, 4},
                                  {"atvetel, mintatar", 10, 6, 4}};

void print_row(const std::string& name, const std::vector<run_result>& runs) {
    std::printf("| %s ", name.c_str());
    for (const double share : {0.5, 0.99, 0.999}) {
        std::printf(
            "| %s ",
            to_text(summarize(runs, [&](const auto& run) { return percentile(run.latency_ms, share); }), 1)
                .c_str());
    }
    for (const double share : {0.5, 0.99}) {
        std::printf(
            "| %s ",
            to_text(summarize(runs, [&](const auto& run) { return percentile(run.queueing_ms, share); }), 1)
                .c_str());
    }
    const auto per_request = [&](auto member) {
        return summarize(runs,
                         [&](const auto& run) {
                             return static_cast<double>(run.*member) / static_cast<double>(run.requests);
                         })
            .median;
    };
    std::printf("| %.3f | %.5f |\n", per_request(&run_result::sheds),
                per_request(&run_result::lost) + per_request(&run_result::refused) +
                    per_request(&run_result::late));
    std::fflush(stdout);
}

void print_table(const service_size& size, double load, bool is_bimodal, const bench_options& opts) {
    std::printf("\n%s: %zu upstreams x %u slots, %s service, %.0f %% load\n\n", size.name, size.upstreams,
                size.slots, is_bimodal ? "bimodal" : "exponential", load * 100);
    std::printf("| policy | p50 ms | p99 ms | p99.9 ms | queueing p50 ms | queueing p99 ms | sheds/request | "
                "lost or refused |\n|---|---|---|---|---|---|---|---|\n");
    const scenario steady{.name = "steady", .configure = [&](pool_options& options) {
                              options.upstreams = size.upstreams;
                              options.slots = size.slots;
                              options.failure_domains = size.failure_domains;
                              options.is_bimodal = is_bimodal;
                              options.mix.load = {0, load, 0};
                          }};
    for (const auto& variant : all_policy_variants()) {
        print_row(variant.name, run_seeds(variant, steady, opts));
    }
    for (const std::uint32_t shed_threshold : {4U, 2U, 1U}) {
        const policy_variant shedding{"estimated load, shed at " + std::to_string(shed_threshold),
                                      [&](pool_options& options) {
                                          options.shed_threshold = shed_threshold;
                                          options.service.retry_budget_percent = 100;
                                      }};
        print_row(shedding.name, run_seeds(shedding, steady, opts));
    }
}

} // namespace

void report_steady(const bench_options& opts) {
    for (const auto& size : sizes) {
        for (const bool is_bimodal : {false, true}) {
            for (const double load : {0.75, 0.9, 0.95}) {
                if (!opts.is_short || (load == 0.9 && !is_bimodal && &size == &sizes[0])) {
                    print_table(size, load, is_bimodal, opts);
                }
            }
        }
    }
}

} // namespace berylcrank::bench
