#include "modules/berylcrank_balance/choice/hedge_policy.h"
#include "modules/berylcrank_core/random/random_source.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace berylcrank {

namespace {

// A lookup with an expected duration of 66 ms. It was sent 20 ms ago to an upstream of slowness 1 and misses
// its latency target in 140 ms.
struct hedge_fixture {
    hedge_inputs in{.running = millis{20},
                    .duration = millis{66},
                    .slowness = 1,
                    .target_left = millis{140},
                    .deadline_left = millis{1000}};

    [[nodiscard]] bool due() const { return should_hedge(in, {}); }
};

} // namespace

// No hedge may be sent while the upstream has normal speed.
TEST_CASE_FIXTURE(hedge_fixture, "should_hedge, upstream at normal speed, sends no hedge") {
    CHECK_FALSE(due());
    in.running = millis{90};
    in.target_left = millis{80};
    CHECK_FALSE(due());
    in.duration = millis{}; // unknown
    in.running = millis{900};
    CHECK_FALSE(due());
}

// If an upstream becomes slow, the request must be hedged while another upstream can complete it on time.
TEST_CASE_FIXTURE(
    hedge_fixture,
    "should_hedge, upstream becomes slow, hedges if it can be on time and no requests are queued") {
    in.slowness = 4;
    CHECK(due());
    in.requests_queued = true; // a hedge would take a slot from a queued request
    CHECK_FALSE(due());
    in.requests_queued = false;
    in.target_left = millis{50}; // a hedge would be late too
    CHECK_FALSE(due());
}

// Guards against a request that waits until its deadline for the rest of a response that does not come.
TEST_CASE_FIXTURE(hedge_fixture, "should_hedge, upstream silent in a response, hedges if the time suffices") {
    in.silent = true;
    in.requests_queued = true;
    CHECK(due());
    in.duration = millis{}; // unknown, as for the first requests of a node
    CHECK(due());
    in.duration = millis{100};
    in.deadline_left = millis{110}; // no time left for a hedge
    CHECK_FALSE(due());
}

// A request must not wait until its deadline for an upstream that no longer responds.
TEST_CASE_FIXTURE(hedge_fixture,
                  "should_hedge, upstream unreachable or unresponsive, hedges late requests too") {
    in.target_left = millis{-300};
    CHECK_FALSE(due());
    in.running = millis{300};
    CHECK(due());
    in.slowness = 4; // the request may take this long at a slow upstream
    CHECK_FALSE(due());
    in.unreachable = true;
    in.requests_queued = true;
    CHECK(due());
    in.deadline_left = millis{60}; // no time left for a hedge
    CHECK_FALSE(due());
}

// Hedges must improve the share of on-time responses, and there must be few of them. In the simulation, each
// request is sent to an upstream of slowness 1, which becomes four times slower with a probability of 35 %,
// at a random time in the next 300 ms. The upstream of a hedge keeps slowness 1.
TEST_CASE("should_hedge, upstreams become slow after the send, more responses are on time with few hedges") {
    constexpr double work_ms = 66;
    constexpr double target_ms = 160;
    constexpr double step_ms = 10;
    constexpr double max_change_ms = 300;
    const auto simulate = [](bool with_hedges, int& hedge_count) {
        seeded_random random(5);
        int on_time = 0;
        for (int n = 0; n < 4000; ++n) {
            const double work = work_ms * (0.7 + 0.6 * random.unit());
            const double changes_at = max_change_ms * random.unit();
            const bool becomes_slow = random.unit() < 0.35;
            double done = 0;
            double hedge_ends = 1e9;
            double now = 0;
            while (done < work && now < hedge_ends) {
                const double slowness = now >= changes_at && becomes_slow ? 4 : 1;
                const hedge_inputs in{.running = millis::from_value(now),
                                      .duration = millis::from_value(work_ms),
                                      .slowness = slowness,
                                      .target_left = millis::from_value(target_ms - now),
                                      .deadline_left = millis{1000}};
                if (with_hedges && hedge_ends > 1e8 && should_hedge(in, {})) {
                    hedge_ends = now + work;
                    ++hedge_count;
                }
                done += step_ms / slowness;
                now += step_ms;
            }
            on_time += std::min(now, hedge_ends) <= target_ms ? 1 : 0;
        }
        return on_time / 4000.0;
    };
    int hedge_count = 0;
    const double share_without = simulate(false, hedge_count);
    CHECK(hedge_count == 0);
    const double share_with = simulate(true, hedge_count);
    MESSAGE("share on time: without hedges ", share_without, ", with hedges ", share_with,
            ", hedges per request ", hedge_count / 4000.0);
    CHECK(share_with > share_without);
    CHECK(hedge_count < 4000 * 0.2); // share of requests that the platform's retry budget allows
}

} // namespace berylcrank
