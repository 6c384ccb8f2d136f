#include "modules/berylcrank_balance/choice/hedge_policy.h"
#include "modules/berylcrank_core/random/random_source.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace berylcrank {

namespace {

// A lookup of 66 ms that has been running for 20 ms at an upstream of usual speed, with 140 ms until it is
// late.
struct hedge_fixture {
    hedge_inputs in{.running = millis{20},
                    .duration = millis{66},
                    .slowness = 1,
                    .target_left = millis{140},
                    .deadline_left = millis{1000}};

    [[nodiscard]] bool due() const { return should_hedge(in, {}); }
};

} // namespace

// Guards against second attempts at upstreams that work as usual.
TEST_CASE_FIXTURE(hedge_fixture, "hedge_due, upstream as quick as usual, leaves the request there") {
    CHECK_FALSE(due());
    in.running = millis{90};
    in.target_left = millis{80};
    CHECK_FALSE(due());
    in.duration = millis{}; // nothing known yet
    in.running = millis{900};
    CHECK_FALSE(due());
}

// Guards against a request that stays at an upstream which has turned slow though another would end it in
// time.
TEST_CASE_FIXTURE(hedge_fixture,
                  "hedge_due, upstream turned slow, sends again while it helps and room is left") {
    in.slowness = 4;
    CHECK(due());
    in.requests_queued = true; // a slot for one is a slot less for another
    CHECK_FALSE(due());
    in.requests_queued = false;
    in.target_left = millis{50}; // late wherever it goes
    CHECK_FALSE(due());
}

// Guards against a request that waits for a dead upstream until its deadline.
TEST_CASE_FIXTURE(hedge_fixture,
                  "hedge_due, upstream unreachable or silent, sends again also when it is late") {
    in.target_left = millis{-300};
    CHECK_FALSE(due());
    in.running = millis{300};
    CHECK(due());
    in.slowness = 4; // then it may well take as long
    CHECK_FALSE(due());
    in.unreachable = true;
    in.requests_queued = true;
    CHECK(due());
    in.deadline_left = millis{60}; // no time for a second attempt
    CHECK_FALSE(due());
}

// Guards against hedges that do not pay: plays upstreams of which each turns four times as slow or quick
// again at random each 300 ms, and compares the responses in time with and without a second attempt at a
// quick one.
TEST_CASE(
    "hedge_due, upstreams turn slow after the send, brings more responses in time for few second attempts") {
    constexpr double work_ms = 66;
    constexpr double target_ms = 160;
    constexpr double step_ms = 10;
    constexpr double turn_ms = 300;
    const auto play = [](bool hedges, int& attempts) {
        seeded_random random(5);
        int in_time = 0;
        for (int n = 0; n < 4000; ++n) {
            const double work = work_ms * (0.7 + 0.6 * random.unit());
            const double turns_at = turn_ms * random.unit();
            const bool slow_then = random.unit() < 0.35;
            double done = 0;
            double second_ends = 1e9;
            double now = 0;
            while (done < work && now < second_ends) {
                const double slowness = now >= turns_at && slow_then ? 4 : 1;
                const hedge_inputs in{.running = millis::from_value(now),
                                      .duration = millis::from_value(work_ms),
                                      .slowness = slowness,
                                      .target_left = millis::from_value(target_ms - now),
                                      .deadline_left = millis{1000}};
                if (hedges && second_ends > 1e8 && should_hedge(in, {})) {
                    second_ends = now + work;
                    ++attempts;
                }
                done += step_ms / slowness;
                now += step_ms;
            }
            in_time += std::min(now, second_ends) <= target_ms ? 1 : 0;
        }
        return in_time / 4000.0;
    };
    int attempts = 0;
    const double without = play(false, attempts);
    CHECK(attempts == 0);
    const double with = play(true, attempts);
    MESSAGE("in time: without ", without, ", with ", with, ", second attempts ", attempts / 4000.0);
    CHECK(with > without);
    CHECK(attempts < 4000 * 0.2); // the share of requests that the platform's resend budget allows
}

} // namespace berylcrank
