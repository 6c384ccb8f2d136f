#include "bench/policy/scenario.h"

#include <cmath>
#include <cstdio>

namespace berylcrank::bench {

namespace {

constexpr millis expected_call_time{1};

/** A chain of services in which each calls the next. The last one is overloaded and fails a share of its
    requests. */
class call_chain {
public:
    call_chain(int levels, bool has_budget, bool marks_no_retry, double failure_rate, std::uint64_t seed)
        : has_budget_(has_budget), marks_no_retry_(marks_no_retry), failure_rate_(failure_rate),
          random_(seed) {
        for (int n = 0; n < levels; ++n) {
            budgets_.emplace_back(retry_budget::options{.percent = 10, .burst = 3});
        }
    }

    /** Sends one request to the first service. Returns true if it succeeded. */
    bool call() { return call_level(0).is_success; }

    [[nodiscard]] std::uint64_t last_level_calls() const { return last_level_calls_; }

private:
    struct response {
        bool is_success{false};
        bool is_marked_no_retry{false}; ///< The response has the header `Berylcrank-Retry: no`.
    };

    response call_level(std::size_t level) {
        if (level == budgets_.size()) {
            ++last_level_calls_;
            const bool is_success = random_.unit() >= failure_rate_;
            return {.is_success = is_success, .is_marked_no_retry = !is_success && marks_no_retry_};
        }
        budgets_[level].on_first_attempt();
        for (int attempts = 1;; ++attempts) {
            const auto result = call_level(level + 1);
            const failed_attempt failed{.verdict = run_verdict::not_run,
                                        .is_marked_no_retry = result.is_marked_no_retry,
                                        .attempts = attempts,
                                        .deadline = instant::never(),
                                        .expected_latency = expected_call_time};
            if (result.is_success || !may_retry(failed, instant{}) ||
                (has_budget_ && !budgets_[level].try_spend())) {
                return result;
            }
        }
    }

    bool has_budget_;
    bool marks_no_retry_;
    double failure_rate_;
    seeded_random random_;
    std::vector<retry_budget> budgets_;
    std::uint64_t last_level_calls_{0};
};

} // namespace

void report_amplification(const bench_options& opts) {
    std::printf("\n| levels | failure rate at the last level | retry budget | no-retry mark | calls at the "
                "last level per request "
                "|\n|---|---|---|---|---|\n");
    for (const int levels : {4, 8, 16}) {
        for (const double failure_rate : {0.5, 1.0}) {
            for (const auto& [has_budget, marks_no_retry] :
                 {std::pair{false, false}, {true, false}, {true, true}}) {
                if (!has_budget && levels == 16) {
                    std::printf("| %d | %.0f %% | no | no | not run; at 100 %% 3^16 = %.0f |\n", levels,
                                failure_rate * 100, std::pow(max_attempts, levels));
                    continue;
                }
                const int requests = has_budget ? 10000 : 100;
                std::vector<double> calls;
                for (std::uint64_t seed = 1; seed <= opts.seeds; ++seed) {
                    call_chain chain(levels, has_budget, marks_no_retry, failure_rate, seed);
                    for (int n = 0; n < requests; ++n) {
                        chain.call();
                    }
                    calls.push_back(static_cast<double>(chain.last_level_calls()) / requests);
                }
                std::printf("| %d | %.0f %% | %s | %s | %s |\n", levels, failure_rate * 100,
                            has_budget ? "10 %" : "no", marks_no_retry ? "yes" : "no",
                            to_text(compute_spread(calls), 2).c_str());
            }
        }
    }
}

} // namespace berylcrank::bench
