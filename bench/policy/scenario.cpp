#include "bench/policy/scenario.h"

#include <atomic>
#include <iomanip>
#include <sstream>
#include <thread>

namespace berylcrank::bench {

void run_parallel(std::size_t count, unsigned threads, const std::function<void(std::size_t)>& task) {
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> workers;
    for (unsigned n = 0; n < threads; ++n) {
        workers.emplace_back([&] {
            for (std::size_t index = next++; index < count; index = next++) {
                task(index);
            }
        });
    }
}

std::vector<run_result> run_seeds(const policy_variant& variant, const scenario& conditions,
                                  const bench_options& opts, request_class cls) {
    std::vector<run_result> results(opts.seeds);
    run_parallel(opts.seeds, opts.threads, [&](std::size_t n) {
        pool_options options;
        options.seed = n + 1;
        conditions.configure(options);
        variant.configure(options);
        fake_pool pool(options);
        const instant from = instant{} + warm_up;
        const instant to = from + opts.duration;
        if (conditions.disturb && !options.has_central_queue) {
            conditions.disturb(pool, from, to);
        } else {
            pool.add_measurement_window(from, to);
        }
        pool.run_until(to + cool_down);
        results[n] = pool.result(cls);
    });
    return results;
}

spread summarize(const std::vector<run_result>& runs,
                 const std::function<double(const run_result&)>& metric) {
    std::vector<double> values;
    values.reserve(runs.size());
    for (const auto& run : runs) {
        values.push_back(metric(run));
    }
    return compute_spread(values);
}

std::string to_text(const spread& value, int digits) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value.median << " (" << value.min << "-" << value.max
        << ")";
    return out.str();
}

std::vector<policy_variant> all_policy_variants() {
    const auto baseline = [](std::string name, policy_kind kind) {
        return policy_variant{std::move(name), [kind](pool_options& options) {
                                  options.router.policy = kind;
                                  options.router.has_outliers = false;
                                  options.router.has_limits = false;
                              }};
    };
    return {
        {"ideal queue", [](pool_options& options) { options.has_central_queue = true; }},
        baseline("power of two", policy_kind::power_of_two),
        baseline("power of two, reported", policy_kind::power_of_two_reported),
        baseline("random", policy_kind::random),
        baseline("round robin", policy_kind::round_robin),
        baseline("least in flight", policy_kind::least_in_flight),
        {"estimated load", [](pool_options&) {}},
        {"estimated load, 5 % hedges",
         [](pool_options& options) { options.service.hedge_budget_percent = 5; }},
    };
}

} // namespace berylcrank::bench
