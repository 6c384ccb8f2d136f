#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_routing/limits/adaptive_limit.h"
#include "modules/berylcrank_routing/limits/admission_queue.h"
#include "modules/berylcrank_routing/outlier/outlier_detector.h"
#include "modules/berylcrank_routing/retry/retry_budget.h"
#include "modules/berylcrank_routing/retry/retry_rule.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace berylcrank {

namespace {

instant at(std::int64_t ms) {
    return instant{millis{ms}};
}

struct queue_fixture {
    admission_queue subject{{.limit = 4}};
    std::optional<queued_request> displaced;
    std::uint64_t last_number{0};

    push_result push(request_class cls, std::int64_t deadline_ms, std::int64_t now_ms = 0) {
        displaced.reset();
        return subject.push({.number = ++last_number, .request_class = cls, .deadline = at(deadline_ms)},
                            millis{}, at(now_ms), displaced);
    }
};

} // namespace

TEST_CASE_FIXTURE(queue_fixture,
                  "admission_queue, mixed classes, serves orders first and the earliest deadline first") {
    push(request_class::download, 100);
    push(request_class::lookup, 300);
    push(request_class::lookup, 200);
    push(request_class::order, 900);
    std::vector<std::uint64_t> order;
    while (const auto next = subject.pop(at(1))) {
        order.push_back(next->number);
    }
    CHECK(order.front() == 4);
    CHECK(std::ranges::find(order, 3U) < std::ranges::find(order, 2U));
}

// Guards against orders that are refused because lookups fill the queue.
TEST_CASE_FIXTURE(queue_fixture, "admission_queue, full, displaces the lowest class only for a higher one") {
    for (int n = 0; n < 3; ++n) {
        CHECK(push(request_class::lookup, 500 + n) == push_result::queued);
    }
    CHECK(push(request_class::download, 400) == push_result::queued);
    CHECK(push(request_class::download, 100) == push_result::full);
    CHECK(push(request_class::order, 900) == push_result::queued);
    REQUIRE(displaced);
    CHECK(displaced->request_class == request_class::download);
    CHECK(push(request_class::order, 900) == push_result::queued);
    REQUIRE(displaced);
    CHECK(displaced->number == 3); // the lookup with the latest deadline
    CHECK(subject.size() == 4);
}

// Guards against queueing requests that cannot meet their deadline.
TEST_CASE_FIXTURE(queue_fixture, "admission_queue, deadline within the expected wait, refuses at once") {
    subject.set_options({.limit = 100});
    for (int n = 0; n < 60; ++n) {
        push(request_class::lookup, 100000);
    }
    for (int n = 0; n < 40; ++n) {
        subject.pop(at(n * 10)); // one every 10 ms
    }
    CHECK(push(request_class::lookup, 500, 400) == push_result::queued); // comes before all later deadlines
    CHECK(push(request_class::order, 405, 400) == push_result::queued);  // no request comes before an order
    CHECK(push(request_class::lookup, 505, 400) == push_result::queued);
    CHECK(push(request_class::lookup, 400, 400) == push_result::too_late);
    CHECK(subject.expected_wait(request_class::lookup, at(200000)) > millis{200});
    CHECK(push(request_class::download, 410, 400) == push_result::too_late); // the order comes first
}

TEST_CASE("admission_queue, random requests, keeps its bound, order and size") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        seeded_random random(seed);
        admission_queue subject({.limit = 20});
        std::map<std::uint64_t, queued_request> model;
        for (std::uint64_t n = 1; n <= 3000; ++n) {
            const auto now = at(static_cast<std::int64_t>(n));
            const auto action = random.below(10);
            if (action < 6) {
                const queued_request request{.number = n,
                                             .request_class = static_cast<request_class>(random.below(3)),
                                             .deadline =
                                                 now + millis{static_cast<std::int64_t>(random.below(300))}};
                std::optional<queued_request> displaced;
                if (subject.push(request, millis{}, now, displaced) == push_result::queued) {
                    model[n] = request;
                }
                if (displaced) {
                    CHECK(displaced->request_class > request.request_class);
                    CHECK(model.erase(displaced->number) == 1);
                }
            } else if (action < 8) {
                if (const auto next = subject.pop(now)) {
                    CHECK(model.erase(next->number) == 1);
                    for (const auto& [number, other] : model) {
                        const bool is_order = other.request_class == request_class::order;
                        CHECK_FALSE((is_order && next->request_class != request_class::order));
                        CHECK_FALSE(
                            (other.request_class == next->request_class && other.deadline < next->deadline));
                    }
                }
            } else if (action == 8 && !model.empty()) {
                CHECK(subject.remove(model.begin()->first));
                model.erase(model.begin());
            } else {
                for (const auto& expired : subject.expire(now)) {
                    CHECK(expired.deadline <= now);
                    CHECK(model.erase(expired.number) == 1);
                }
            }
            CHECK(subject.size() == model.size());
            CHECK(subject.size() <= 20);
        }
    }
}

// Guards against downloads that starve while lookups are queued, and against unfair weights.
TEST_CASE("admission_queue, queued lookups and downloads, serves them by weight") {
    admission_queue subject({.limit = 1000, .weights = {1, 4, 1}});
    std::optional<queued_request> displaced;
    for (std::uint64_t n = 1; n <= 400; ++n) {
        subject.push({.number = n,
                      .request_class = n % 2 == 0 ? request_class::lookup : request_class::download,
                      .deadline = instant::never()},
                     millis{}, at(0), displaced);
    }
    int lookups = 0;
    for (int n = 0; n < 100; ++n) {
        lookups += subject.pop(at(n))->request_class == request_class::lookup ? 1 : 0;
    }
    CHECK(lookups >= 79);
    CHECK(lookups <= 81);
}

TEST_CASE("adaptive_limit, random outcomes, stays within its bounds") {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        seeded_random random(seed);
        adaptive_limit subject({.initial = 4, .min = 0, .max = 16});
        for (int n = 0; n < 5000; ++n) {
            const auto now = at(n * 5);
            switch (random.below(5)) {
            case 0:
                subject.on_timeout(now);
                break;
            case 1:
                subject.on_shed(now);
                break;
            case 2:
                subject.on_report(random.unit() * 5, now);
                break;
            case 3:
                subject.set_bounds(random.unit() * 3, random.unit() * 30);
                break;
            default:
                subject.on_dispatch(static_cast<std::uint32_t>(random.below(20)));
                subject.on_response(millis::from_value(random.unit() * 1000), now);
            }
            CHECK(subject.limit() >= 1);
            CHECK(subject.limit() <= 30);
            CHECK(subject.allows(0));
        }
    }
}

TEST_CASE("adaptive_limit, overload that ends, decreases and recovers") {
    adaptive_limit subject({.initial = 8, .max = 8, .window = millis{10}});
    for (int n = 0; n < 200; ++n) {
        subject.on_report(4, at(n)); // above the default of 3 per slot
    }
    CHECK(subject.limit() == 1);
    for (int n = 200; n < 600; ++n) {
        subject.on_dispatch(static_cast<std::uint32_t>(subject.limit()));
        subject.on_report(1, at(n));
    }
    CHECK(subject.limit() == 8);
}

// Guards against momentarily busy slots that count as overload. This raised p99 to 266 ms in the benchmark.
TEST_CASE("adaptive_limit, few shed requests among successes, does not decrease") {
    adaptive_limit subject({.initial = 8, .max = 8, .window = millis{10}});
    for (int n = 0; n < 500; ++n) {
        n % 5 == 0 ? subject.on_shed(at(n)) : subject.on_response(millis{10}, at(n));
    }
    CHECK(subject.limit() == 8);
}

TEST_CASE("retry_budget, random use, never exceeds the burst plus its share of first attempts") {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        seeded_random random(seed);
        const double percent = static_cast<double>(random.below(40));
        retry_budget subject({.percent = percent, .burst = 3});
        double first_attempts = 0;
        double spent = 0;
        for (int n = 0; n < 5000; ++n) {
            if (random.below(3) == 0) {
                subject.on_first_attempt();
                ++first_attempts;
            } else if (subject.try_spend()) {
                ++spent;
                if (random.below(10) == 0) {
                    subject.refund();
                    --spent;
                }
            }
            CHECK(spent <= first_attempts * percent / 100 + 3 + 1e-6);
        }
    }
}

TEST_CASE("may_retry, verdicts and marks, allows only safe retries before the deadline") {
    const failed_attempt safe{.verdict = run_verdict::not_run, .is_idempotent = false, .deadline = at(100)};
    CHECK(may_retry(safe, at(0)));
    auto attempt = safe;
    attempt.verdict = run_verdict::may_have_run;
    CHECK_FALSE(may_retry(attempt, at(0))); // an order must not run twice
    attempt.is_idempotent = true;
    CHECK(may_retry(attempt, at(0)));
    attempt = safe;
    attempt.is_marked_no_retry = true;
    CHECK_FALSE(may_retry(attempt, at(0)));
    attempt = safe;
    attempt.expected_latency = millis{50};
    CHECK_FALSE(may_retry(attempt, at(60)));
    attempt = safe;
    attempt.attempts = max_attempts;
    CHECK_FALSE(may_retry(attempt, at(0)));
}

TEST_CASE("outlier_detector, consecutive failures, ejects for increasing durations") {
    outlier_detector subject({.consecutive_failures = 3, .base_ejection = millis{100}});
    CHECK_FALSE(subject.on_failure(at(0)));
    CHECK_FALSE(subject.on_failure(at(1)));
    CHECK(subject.on_failure(at(2)));
    subject.eject(at(2));
    CHECK(subject.is_ejected(at(101)));
    CHECK_FALSE(subject.is_ejected(at(102)));
    CHECK(subject.on_failure(at(110))); // one further failure is enough
    subject.eject(at(110));
    CHECK(subject.is_ejected(at(309)));
    subject.on_success(at(800));
    CHECK_FALSE(subject.on_failure(at(801)));
}

} // namespace berylcrank
