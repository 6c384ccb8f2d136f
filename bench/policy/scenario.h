#pragma once

#include "bench/policy/fake_pool.h"

#include <functional>
#include <string>
#include <vector>

namespace berylcrank::bench {

/** Time before measuring. */
inline constexpr millis warm_up{5000};

/** Time in which the last measured requests finish. */
inline constexpr millis cool_down{3000};

/** What is given on the command line. */
struct bench_options {
    std::size_t seeds{5};
    millis duration{60000}; ///< Measured time of a steady run; disturbances repeat over it.
    unsigned threads{4};
    bool is_short{false}; ///< Fewer rows, for trials.
};

/** A policy with its surroundings: one row of a table. */
struct contender {
    std::string name;
    std::function<void(pool_options&)> set_up;
};

/** A situation: options and disturbances. */
struct scenario {
    std::string name;
    std::function<void(pool_options&)> set_up;
    std::function<void(fake_pool&, instant from, instant to)> disturb; ///< Also sets the windows measured.
};

/** One slowed upstream every 2 s; measures around it. */
void slow_one(fake_pool& pool, instant from, instant to);

/** One upstream that fails fast for 2 s, every 5 s. */
void fail_fast(fake_pool& pool, instant from, instant to);

/** A failure domain fails, a ticket takes it out after 1 s, and it returns. */
void domain_leaves(fake_pool& pool, instant from, instant to);

/** Runs a contender in a scenario once for each seed, in parallel; the result does not depend on `threads`.
 */
std::vector<run_result> run_seeds(const contender& who, const scenario& where, const bench_options& it,
                                  request_class cls = request_class::lookup);

/** The policies compared everywhere; the first is the ideal queue, the second power of two. */
std::vector<contender> all_contenders();

/** Calls `work(0..count-1)` on `threads` threads. */
void run_parallel(std::size_t count, unsigned threads, const std::function<void(std::size_t)>& work);

/** Extracts one figure from each run. */
spread figure(const std::vector<run_result>& runs, const std::function<double(const run_result&)>& of);

void report_steady(const bench_options& it);
void report_disturbances(const bench_options& it);
void report_probing(const bench_options& it);
void report_overload(const bench_options& it);
void report_amplification(const bench_options& it);
void report_breaker(const bench_options& it);
void report_suspects(const bench_options& it);

} // namespace berylcrank::bench
