#include "bench/policy/scenario.h"

#include <cmath>
#include <cstdio>

namespace berylcrank::bench {

namespace {

constexpr millis call_time{1};

/** A chain of services in which each calls the next; the last one is overloaded. */
class call_chain {
public:
    call_chain(int levels, bool has_budget, bool has_mark, double failure, std::uint64_t seed)
        : has_budget_(has_budget), has_mark_(has_mark), failure_(failure), random_(seed) {
        for (int n = 0; n < levels; ++n) {
            budgets_.emplace_back(retry_budget::options{.percent = 10, .burst = 3});
        }
    }

    /** One request at the top; returns true if it succeeded. */
    bool call() { return call_level(0).is_good; }

    [[nodiscard]] std::uint64_t last_level_calls() const { return last_level_calls_; }

private:
    struct answer {
        bool is_good{false};
        bool is_marked{false}; ///< `Berylcrank-Retry: no`
    };

    answer call_level(std::size_t level) {
        if (level == budgets_.size()) {
            ++last_level_calls_;
            const bool is_good = random_.unit() >= failure_;
            return {.is_good = is_good, .is_marked = !is_good && has_mark_};
        }
        budgets_[level].on_first_attempt();
        for (int attempts = 1;; ++attempts) {
            const auto it = call_level(level + 1);
            const failed_attempt failed{.verdict = run_verdict::not_run,
                                        .is_marked_no_retry = it.is_marked,
                                        .attempts = attempts,
                                        .deadline = instant::never(),
                                        .expected_latency = call_time};
            if (it.is_good || !may_retry(failed, instant{}) ||
                (has_budget_ && !budgets_[level].try_spend())) {
                return it;
            }
        }
    }

    bool has_budget_;
    bool has_mark_;
    double failure_;
    seeded_random random_;
    std::vector<retry_budget> budgets_;
    std::uint64_t last_level_calls_{0};
};

} // namespace

void report_amplification(const bench_options& it) {
    std::printf(
        "\n| levels | failures at the last level | budget | mark | calls at the last level per request "
        "|\n|---|---|---|---|---|\n");
    for (const int levels : {4, 8, 16}) {
        for (const double failure : {0.5, 1.0}) {
            for (const auto& [has_budget, has_mark] :
                 {std::pair{false, false}, {true, false}, {true, true}}) {
                if (!has_budget && levels == 16) {
                    std::printf("| %d | %.0f %% | no | no | not run; at 100 %% 3^16 = %.0f |\n", levels,
                                failure * 100, std::pow(max_attempts, levels));
                    continue;
                }
                const int requests = has_budget ? 10000 : 100;
                std::vector<double> calls;
                for (std::uint64_t seed = 1; seed <= it.seeds; ++seed) {
                    call_chain chain(levels, has_budget, has_mark, failure, seed);
                    for (int n = 0; n < requests; ++n) {
                        chain.call();
                    }
                    calls.push_back(static_cast<double>(chain.last_level_calls()) / requests);
                }
                std::printf("| %d | %.0f %% | %s | %s | %s |\n", levels, failure * 100,
                            has_budget ? "10 %" : "no", has_mark ? "yes" : "no",
                            text(spread_of(calls), 2).c_str());
            }
        }
    }
}

} // namespace berylcrank::bench
