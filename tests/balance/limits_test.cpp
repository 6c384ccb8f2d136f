#include "modules/berylcrank_balance/admission/admission_control.h"
#include "modules/berylcrank_balance/admission/prior_wait_estimator.h"
#include "modules/berylcrank_balance/admission/startup_limiter.h"
#include "modules/berylcrank_balance/admission/stop_admission.h"
#include "modules/berylcrank_balance/admission/wait_queue.h"
#include "modules/berylcrank_balance/budget/windowed_retry_budget.h"
#include "modules/berylcrank_balance/load/median_durations.h"
#include "modules/berylcrank_balance/warmup/warmup_limiter.h"
#include "modules/berylcrank_core/random/random_source.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>

namespace berylcrank {

namespace {

instant at(std::int64_t ms) {
    return instant{millis{ms}};
}

// Returns the largest number of `times` in any interval of length `window`.
std::size_t max_within(const std::vector<instant>& times, millis window) {
    std::size_t result = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= window) {
            ++first;
        }
        result = std::max(result, last - first + 1);
    }
    return result;
}

struct wait_queue_fixture {
    wait_queue subject;
    std::uint64_t next{1};

    std::uint64_t push(const std::string& service, int priority, std::int64_t expires_at_ms) {
        subject.push(
            {.number = next, .service = service, .priority = priority, .expires_at = at(expires_at_ms)});
        return next++;
    }
};

} // namespace

// Orders must be served before lookups when few slots are free.
TEST_CASE_FIXTURE(wait_queue_fixture, "wait_queue, two priorities, returns the urgent request first") {
    push("s", 2, 100);
    const auto order = push("s", 1, 900);
    const auto other = push("t", 2, 50);
    CHECK(subject.fronts("s").front().number == order);
    CHECK(subject.ahead_of("s", 1, false) == 1);
    CHECK(subject.ahead_of("s", 2, false) == 2);
    subject.erase(order);
    subject.erase(other);
    CHECK(subject.services() == std::vector<std::string>{"s"});
}

// Requests that can still be on time must not wait behind late ones.
TEST_CASE_FIXTURE(wait_queue_fixture,
                  "wait_queue, late request arrived first, returns the on-time request first") {
    subject.push({.number = 1, .service = "s", .priority = 2, .late = true, .expires_at = at(50)});
    subject.push({.number = 2, .service = "s", .priority = 2, .expires_at = at(90)});
    CHECK(subject.fronts("s").front().number == 2);
    CHECK(subject.ahead_of("s", 2, false) == 1);
    CHECK(subject.ahead_of("s", 2, true) == 2);
    const auto count = subject.count("s");
    CHECK(count.service == service_number("s"));
    CHECK(count.on_time == 1);
    CHECK(count.late == 1);
}

// If an overloaded queue were served in order of arrival, every request would be nearly late when it is
// served.
TEST_CASE_FIXTURE(wait_queue_fixture,
                  "wait_queue, several on time, returns the newest first and finds the oldest") {
    subject.push({.number = 1, .service = "s", .priority = 2, .expires_at = at(100), .queued_at = at(10)});
    subject.push({.number = 2, .service = "s", .priority = 2, .expires_at = at(90), .queued_at = at(20)});
    subject.push(
        {.number = 3, .service = "s", .priority = 2, .late = true, .expires_at = at(95), .queued_at = at(5)});
    subject.push({.number = 4,
                  .service = "s",
                  .priority = 2,
                  .late = true,
                  .expires_at = at(80),
                  .queued_at = at(30)});
    CHECK(subject.oldest_on_time("s") == 1);
    CHECK_FALSE(subject.oldest_on_time("other").has_value());
    std::vector<std::uint64_t> order;
    while (!subject.fronts("s").empty()) {
        order.push_back(subject.fronts("s").front().number);
        subject.erase(order.back());
    }
    CHECK(order == std::vector<std::uint64_t>{2, 1, 4, 3}); // late requests: earliest expiry first
}

// A late request must be able to use a slow upstream while an on-time request waits for a faster one.
TEST_CASE_FIXTURE(wait_queue_fixture,
                  "wait_queue, two priorities on time and late, returns the first of each") {
    subject.push({.number = 1, .service = "s", .priority = 2, .expires_at = at(100), .queued_at = at(10)});
    subject.push({.number = 2, .service = "s", .priority = 2, .late = true, .expires_at = at(100)});
    subject.push({.number = 3, .service = "s", .priority = 1, .late = true, .expires_at = at(100)});
    subject.push({.number = 4, .service = "s", .priority = 2, .expires_at = at(100), .queued_at = at(11)});
    const auto fronts = subject.fronts("s");
    REQUIRE(fronts.size() == 3);
    CHECK(fronts[0].number == 3);
    CHECK(fronts[1].number == 4);
    CHECK(fronts[2].number == 2);
}

// Requests must not stay queued after they expire.
TEST_CASE_FIXTURE(wait_queue_fixture, "wait_queue, request expires, returns it once") {
    push("s", 2, 100);
    push("s", 2, 200);
    CHECK(subject.expired(at(99)).empty());
    CHECK(subject.expired(at(100)).size() == 1);
    CHECK(subject.expired(at(100)).empty());
    CHECK(subject.size() == 1);
}

// Requests that cannot be served in time must not stay queued. Late requests are refused because of the
// requests ahead of them. For on-time requests the queue length is limited: if it is too long, the oldest is
// refused.
TEST_CASE("decide_admission, more requests ahead than complete in time, refuses at once") {
    const admission_options options;
    admission_inputs in{.prior_wait = millis{300},
                        .latency_target = millis{200},
                        .deadline_left = millis{900},
                        .ahead = 0,
                        .drained_per_second = 20};
    CHECK(decide_admission(in, options).waits);
    in.ahead = 10; // half a second of work
    CHECK_FALSE(decide_admission(in, options).waits);
    CHECK(max_queue_length(20, millis{100}) == 2);
    CHECK(max_queue_length(0, millis{100}) == 1);
}

// A request that can be on time must not be refused, and must not stay queued after it has become late.
TEST_CASE("decide_admission, on time, queues the request for as long as it can meet the target") {
    const admission_options options;
    admission_inputs in{.latency_target = millis{200},
                        .deadline_left = millis{1200},
                        .duration = millis{70},
                        .ahead = 3,
                        .drained_per_second = 20};
    CHECK(decide_admission(in, options).waits);
    CHECK_FALSE(decide_admission(in, options).late);
    CHECK(decide_admission(in, options).max_wait == millis{90}); // 200 ms x 0.8 - 70 ms
    in.since_received = millis{100};
    CHECK(decide_admission(in, options).late);
}

// A caller's second attempt must not count as on time, and a first attempt with a slightly shorter timeout
// must not count as a later one.
TEST_CASE("prior_wait_estimator, first attempts with different timeouts, detects later attempts") {
    prior_wait_estimator subject;
    seeded_random random(3);
    for (int i = 0; i < 400; ++i) {
        subject.estimate("r", millis{1200} * (0.85 + 0.15 * random.unit()), true);
    }
    CHECK(subject.estimate("r", millis{1200}, false) == millis{0});
    CHECK(subject.estimate("r", millis{1050}, false) == millis{0});
    const auto prior_wait = subject.estimate("r", millis{800}, false);
    CHECK(prior_wait >= millis{250}); // 400 ms below the longest timeout, less half of the spread
    CHECK(prior_wait <= millis{400});
    CHECK(subject.estimate("other", millis{900}, false) == millis{0});
    const admission_options options;
    const admission_inputs in{
        .prior_wait = prior_wait, .latency_target = millis{200}, .deadline_left = millis{800}};
    CHECK(decide_admission(in, options).late);
    CHECK(decide_admission(in, options).max_wait == millis{240});
}

// A few slow upstreams or one stuck request must not shift the expected duration.
TEST_CASE("median_durations, a third of the requests at slow upstreams, returns the median") {
    median_durations subject;
    CHECK(subject.median("r") == millis{0});
    for (int i = 0; i < 600; ++i) {
        subject.record("r", millis{i % 3 == 0 ? 264 : 66}, i % 3 == 0 ? 4 : 1);
    }
    subject.record("r", millis{5000}, 1);
    CHECK(subject.median("r") >= millis{63});
    CHECK(subject.median("r") <= millis{70});
}

// When all callers reconnect at once to nodes that have just started, the nodes must not overload the
// upstreams. Simulates 300 callers at 13 nodes that do not know each other's requests in flight, with 62
// slots below the knee.
TEST_CASE("startup_limiter, all nodes start at once, use each slot about once") {
    constexpr std::size_t nodes = 13;
    constexpr double slots = 62;
    startup_limiter subject;
    subject.begin(at(0));
    int sent = 0;
    for (std::size_t n = 0; n < nodes; ++n) {
        int own = 0;
        for (int caller = 0; caller < 300 / 13; ++caller) {
            own += subject.allows(own, slots, nodes, at(50)) ? 1 : 0;
        }
        sent += own;
    }
    CHECK(sent >= 62);
    CHECK(sent <= 62 + 13);
    CHECK(subject.allows(1000, slots, nodes, at(0) + startup_limiter::duration));
}

// Refused callers must not all retry at the same time, and must be able to retry before their deadline.
TEST_CASE("retry_after, queue of 5 at 20 per second, is up to twice the time until the queue has drained") {
    const admission_options options;
    for (const double random : {0.0, 0.5, 0.99}) {
        const admission_inputs in{.ahead = 5, .drained_per_second = 20, .random = random};
        CHECK(retry_after(in, options) >= millis{300});
        CHECK(retry_after(in, options) <= millis{600});
    }
}

// All nodes together must not exceed the retry budget of a service, however the requests are distributed over
// the nodes and whenever the failures occur.
TEST_CASE("windowed_retry_budget, 13 nodes use their whole budget, stay within the limits in every window") {
    constexpr std::size_t nodes = 13;
    const retry_budget_limits limits{.window = millis{10000}, .ratio = 0.2, .burst = 56};
    std::vector<windowed_retry_budget> subjects(nodes, windowed_retry_budget(limits));
    seeded_random random(11);
    std::vector<instant> requests;
    std::vector<instant> retries;
    for (std::int64_t ms = 0; ms < 60000; ms += 4) {
        auto& subject = subjects[random.below(nodes)];
        requests.push_back(at(ms));
        subject.record_request(at(ms));
        if (ms > 20000 && subject.take(nodes, at(ms))) { // every request fails from 20 s on
            retries.push_back(at(ms));
        }
    }
    CHECK(retries.size() > 1000);
    for (std::int64_t from = 0; from < 50000; from += 100) {
        const auto in_window = [&](const auto& it) { return it >= at(from) && it < at(from + 10000); };
        const auto request_count = std::count_if(requests.begin(), requests.end(), in_window);
        const auto retry_count = std::count_if(retries.begin(), retries.end(), in_window);
        CHECK(static_cast<double>(retry_count) <=
              limits.ratio * static_cast<double>(request_count) + limits.burst);
    }
}

// A cold upstream must not be overloaded and crash when two nodes both admit requests to it.
TEST_CASE("warmup_limiter, two nodes use their whole limit, stay within the rate in every second") {
    constexpr double rate = 5.1 * 1.5 + 5;
    std::vector<warmup_limiter> subjects(2);
    std::vector<instant> sends;
    for (std::int64_t ms = 0; ms < 10000; ms += 3) {
        for (auto& subject : subjects) {
            if (subject.allows(7, rate, at(ms))) {
                subject.sent(7, at(ms));
                sends.push_back(at(ms));
            }
        }
    }
    CHECK(static_cast<double>(max_within(sends, millis{1000})) <= rate);
    CHECK(sends.size() >= 80); // in 10 s, so not far below the safe rate of 5.1 per second and node
}

// Guards against a request that is sent although the exit of the process will cut it off.
TEST_CASE("stop admission, request that ends before the exit, is sent at any time") {
    const stop_options options;
    const stop_inputs in{.since_stop = millis{5000}, .exit_in = millis{300}, .deadline_left = millis{300}};
    CHECK(may_send_while_stopping(in, options));
    auto longer = in;
    longer.deadline_left = millis{301};
    CHECK_FALSE(may_send_while_stopping(longer, options));
}

// Guards against refusing requests whose callers cannot know of the stop yet, and against sending those that
// cannot complete.
TEST_CASE(
    "stop admission, request that may outlast the process, is sent early if it is expected to complete") {
    const stop_options options;
    const stop_inputs early{.since_stop = millis{100},
                            .exit_in = millis{5200},
                            .deadline_left = millis{10000},
                            .queue_wait = millis{200},
                            .duration = millis{1250}};
    CHECK(may_send_while_stopping(early, options));
    auto slow = early;
    slow.duration = millis{1300};
    CHECK_FALSE(may_send_while_stopping(slow, options));
    auto queued = early;
    queued.queue_wait = millis{300};
    CHECK_FALSE(may_send_while_stopping(queued, options));
    auto after_notice = early;
    after_notice.since_stop = options.notice_time + millis{1};
    after_notice.duration = millis{1};
    CHECK_FALSE(may_send_while_stopping(after_notice, options));
}

} // namespace berylcrank
