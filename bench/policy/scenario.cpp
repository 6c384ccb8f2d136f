#include "bench/policy/scenario.h"

#include <atomic>
#include <iomanip>
#include <sstream>
#include <thread>

namespace berylcrank::bench {

void run_parallel(std::size_t count, unsigned threads, const std::function<void(std::size_t)>& work) {
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> workers;
    for (unsigned n = 0; n < threads; ++n) {
        workers.emplace_back([&] {
            for (std::size_t it = next++; it < count; it = next++) {
                work(it);
            }
        });
    }
}

std::vector<run_result> run_seeds(const contender& who, const scenario& where, const bench_options& it,
                                  request_class cls) {
    std::vector<run_result> results(it.seeds);
    run_parallel(it.seeds, it.threads, [&](std::size_t n) {
        pool_options options;
        options.seed = n + 1;
        where.set_up(options);
        who.set_up(options);
        fake_pool pool(options);
        const instant from = instant{} + warm_up;
        const instant to = from + it.duration;
        if (where.disturb && !options.is_central) {
            where.disturb(pool, from, to);
        } else {
            pool.measure(from, to);
        }
        pool.run_until(to + cool_down);
        results[n] = pool.result(cls);
    });
    return results;
}

spread figure(const std::vector<run_result>& runs, const std::function<double(const run_result&)>& of) {
    std::vector<double> values;
    values.reserve(runs.size());
    for (const auto& it : runs) {
        values.push_back(of(it));
    }
    return spread_of(values);
}

std::string text(const spread& it, int digits) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << it.median << " (" << it.least << "-" << it.most << ")";
    return out.str();
}

std::vector<contender> all_contenders() {
    const auto baseline = [](std::string name, policy_kind kind) {
        return contender{std::move(name), [kind](pool_options& it) {
                             it.router.policy = kind;
                             it.router.has_outliers = false;
                             it.router.has_limits = false;
                         }};
    };
    return {
        {"ideal queue", [](pool_options& it) { it.is_central = true; }},
        baseline("power of two", policy_kind::power_of_two),
        baseline("power of two, reported", policy_kind::power_of_two_reported),
        baseline("random", policy_kind::random),
        baseline("round robin", policy_kind::round_robin),
        baseline("least in flight", policy_kind::least_in_flight),
        {"estimated load", [](pool_options&) {}},
        {"estimated load, 5 % hedges", [](pool_options& it) { it.service.hedge_budget_percent = 5; }},
    };
}

} // namespace berylcrank::bench
