#pragma once

#include "bench/policy/fake_pool.h"

#include <functional>
#include <string>
#include <vector>

namespace berylcrank::bench {

/** Simulated time before the measurement. */
inline constexpr millis warm_up{5000};

/** Simulated time after the measurement, in which the last measured requests finish. */
inline constexpr millis cool_down{3000};

/** Options of the command line. */
struct bench_options {
    std::size_t seeds{5};
    millis duration{60000}; ///< Measured time per run. Disturbances repeat during it.
    unsigned threads{4};
    bool is_short{false}; ///< Prints only one size and load of the steady table.
};

/** A policy with its options: one row of a table. */
struct policy_variant {
    std::string name;
    std::function<void(pool_options&)> configure;
};

/** The conditions of a run: options of the pool and disturbances. */
struct scenario {
    std::string name;
    std::function<void(pool_options&)> configure;
    std::function<void(fake_pool&, instant from, instant to)> disturb; ///< Also adds the measurement windows.
};

/** Slows one upstream down for 200 ms, every 2 s. Measures during each slowdown and for 200 ms after it. */
void slow_down_one_upstream(fake_pool& pool, instant from, instant to);

/** Makes one upstream fail fast for 2 s, every 5 s. */
void fail_one_upstream(fake_pool& pool, instant from, instant to);

/** Makes a failure domain fail, every 8 s. A ticket takes it out of use after 1 s; later it returns. */
void fail_one_domain(fake_pool& pool, instant from, instant to);

/** Runs a policy variant in a scenario once per seed, in parallel. The results do not depend on `threads`. */
std::vector<run_result> run_seeds(const policy_variant& variant, const scenario& conditions,
                                  const bench_options& opts, request_class cls = request_class::lookup);

/** The policies that the tables compare. The first is the ideal queue, the second is power of two. */
std::vector<policy_variant> all_policy_variants();

/** Calls `task(0)` to `task(count - 1)` on `threads` threads. Returns when all calls have returned. */
void run_parallel(std::size_t count, unsigned threads, const std::function<void(std::size_t)>& task);

/** Computes the spread of a metric over the runs. */
spread summarize(const std::vector<run_result>& runs, const std::function<double(const run_result&)>& metric);

void report_steady(const bench_options& opts);
void report_disturbances(const bench_options& opts);
void report_probing(const bench_options& opts);
void report_overload(const bench_options& opts);
void report_amplification(const bench_options& opts);
void report_breaker(const bench_options& opts);
void report_suspects(const bench_options& opts);

} // namespace berylcrank::bench
