#include "modules/berylcrank_core/berylcrank_core.h"
#include "modules/berylcrank_once/berylcrank_once.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

namespace berylcrank {

namespace {

constexpr millis lifetime{10000};
constexpr instant never = instant::never();

order_response make_order_response(run_verdict verdict, std::string body = "") {
    return {.verdict = verdict, .status = 200, .body = std::move(body)};
}

struct order_table_fixture {
    order_table::options options{
        .shards = 1, .max_entries = 2, .max_bytes = 4096, .recordable_bytes = 1000, .lifetime = lifetime};
    order_table subject{options};
    std::vector<run_verdict> received; ///< Verdicts passed to waiters, in order.
    content_digest digest{.low = 1, .high = 2};

    static request_id id(std::uint64_t serial, std::int64_t minted_ms = 0) {
        return {.home = {1}, .minted = instant{millis{minted_ms}}, .serial = serial};
    }
    static instant at(std::int64_t ms) { return instant{millis{ms}}; }

    admit_result admit(const request_id& it, std::int64_t now_ms, instant deadline = never) {
        return subject.admit(it, digest, deadline, at(now_ms), [this](const shared_response& response) {
            received.push_back(response->verdict);
        });
    }
    void run_to_end(const request_id& it, std::int64_t now_ms, std::string body = "") {
        REQUIRE(admit(it, now_ms).admission == order_admission::run);
        const auto attempt = subject.begin_dispatch(it, at(now_ms));
        REQUIRE(attempt.has_value());
        REQUIRE(subject.finish(it, *attempt, make_order_response(run_verdict::ran, std::move(body))));
    }
};

} // namespace

// Guards against a retry that runs the order again, and against retries that get a different response.
TEST_CASE_FIXTURE(order_table_fixture,
                  "order_table, retries during and after the run, get the same response") {
    REQUIRE(admit(id(1), 0).admission == order_admission::run);
    CHECK(admit(id(1), 0).admission == order_admission::waiting);
    const auto attempt = subject.begin_dispatch(id(1), at(0));
    CHECK_FALSE(subject.begin_dispatch(id(1), at(0)).has_value());
    CHECK(subject.finish(id(1), *attempt, make_order_response(run_verdict::ran, "body")));
    CHECK(received == std::vector{run_verdict::ran, run_verdict::ran});
    const auto retry = admit(id(1), 1);
    REQUIRE(retry.admission == order_admission::recorded);
    CHECK(retry.response->body == "body");
    CHECK_FALSE(subject.begin_dispatch(id(1), at(1)).has_value());
}

// Guards against a dispatch after the order was reported as not run, and against "not run" after a dispatch.
TEST_CASE_FIXTURE(order_table_fixture, "order_table, refusal and dispatch, are mutually exclusive") {
    REQUIRE(admit(id(1), 0).admission == order_admission::run);
    REQUIRE(admit(id(2), 0).admission == order_admission::run);
    CHECK(subject.refuse(id(1), make_order_response(run_verdict::not_run)) == refuse_result::refused);
    CHECK_FALSE(subject.begin_dispatch(id(1), at(0)).has_value());
    CHECK(admit(id(1), 5000).response->verdict == run_verdict::not_run);
    const auto attempt = subject.begin_dispatch(id(2), at(0));
    REQUIRE(attempt.has_value());
    CHECK(subject.refuse(id(2), make_order_response(run_verdict::not_run)) == refuse_result::running);
    CHECK_FALSE(subject.finish(id(2), *attempt, make_order_response(run_verdict::not_run)));
}

// Guards against a race between a refusal and a dispatch of the same order on two threads.
TEST_CASE("order_table, refusal and dispatch on two threads, exactly one succeeds") {
    order_table subject{{.shards = 4, .max_entries = 20000}};
    constexpr std::uint64_t ids = 5000;
    const auto id = [](std::uint64_t n) { return request_id{.home = {1}, .serial = n}; };
    for (std::uint64_t n = 0; n < ids; ++n) {
        subject.admit(id(n), {}, never, instant{}, [](const shared_response&) {});
    }
    std::vector<char> refused(ids);
    std::vector<char> dispatched(ids);
    std::thread refuser([&] {
        for (std::uint64_t n = 0; n < ids; ++n) {
            refused[n] = subject.refuse(id(n), {}) == refuse_result::refused ? 1 : 0;
        }
    });
    for (std::uint64_t n = 0; n < ids; ++n) {
        dispatched[n] = subject.begin_dispatch(id(n), instant{}).has_value() ? 1 : 0;
    }
    refuser.join();
    for (std::uint64_t n = 0; n < ids; ++n) {
        REQUIRE(refused[n] + dispatched[n] == 1);
    }
}

// Guards against a late result of an earlier attempt that marks a running order as not run.
TEST_CASE_FIXTURE(order_table_fixture, "order_table, result of an earlier attempt, has no effect") {
    REQUIRE(admit(id(1), 0).admission == order_admission::run);
    const auto first = subject.begin_dispatch(id(1), at(0));
    REQUIRE(subject.attempt_not_run(id(1), *first));
    const auto second = subject.begin_dispatch(id(1), at(0));
    REQUIRE(second.has_value());
    CHECK_FALSE(subject.attempt_not_run(id(1), *first));
    CHECK_FALSE(subject.finish(id(1), *first, make_order_response(run_verdict::ran)));
    CHECK(subject.refuse(id(1), make_order_response(run_verdict::not_run)) == refuse_result::running);
    CHECK(subject.finish(id(1), *second, make_order_response(run_verdict::ran)));
}

// Guards against "not run" for a waiter whose deadline passes while the first copy runs.
TEST_CASE_FIXTURE(order_table_fixture, "order_table, waiter past its deadline, gets may-have-run") {
    REQUIRE(admit(id(1), 0, at(100)).admission == order_admission::run);
    REQUIRE(admit(id(1), 0, at(10)).admission == order_admission::waiting);
    subject.tick(at(10));
    CHECK(received == std::vector{run_verdict::may_have_run});
    REQUIRE(subject.begin_dispatch(id(1), at(99)).has_value());
    subject.tick(at(100));
    CHECK(received == std::vector{run_verdict::may_have_run, run_verdict::may_have_run});
    CHECK(subject.refuse(id(1), {}) == refuse_result::running);
}

// Guards against dispatching an order after its deadline, e.g. when the thread was paused between routing and
// dispatch.
TEST_CASE_FIXTURE(order_table_fixture,
                  "order_table, deadline passed before dispatch, is refused as not run") {
    REQUIRE(admit(id(1), 0, at(100)).admission == order_admission::run);
    REQUIRE(admit(id(1), 0, at(200)).admission == order_admission::waiting);
    CHECK_FALSE(subject.begin_dispatch(id(1), at(100)).has_value());
    subject.tick(at(100));
    CHECK(received == std::vector{run_verdict::not_run, run_verdict::not_run});
    CHECK(admit(id(1), 101).response->verdict == run_verdict::not_run);
}

// Guards against a copy that was refused because the table was full and runs later.
TEST_CASE_FIXTURE(order_table_fixture,
                  "order_table, full, refuses new ids permanently and keeps existing ones") {
    run_to_end(id(1), 0);
    REQUIRE(admit(id(2), 0).admission == order_admission::run);
    CHECK(admit(id(3, 40), 50).admission == order_admission::full);
    CHECK(subject.refuse_horizon(id(3)) == at(50));
    CHECK(admit(id(1), 60).admission == order_admission::recorded);
    CHECK(subject.begin_dispatch(id(2), at(60)).has_value());
    // An expired id frees an entry. The refused id and all ids minted up to the horizon stay refused.
    const auto ignore = [](const shared_response&) {};
    order_table single{{.shards = 1, .max_entries = 1, .lifetime = lifetime}};
    const auto first = single.admit(id(1), digest, never, at(0), ignore);
    REQUIRE(first.admission == order_admission::run);
    REQUIRE(single.refuse(id(1), {}) == refuse_result::refused);
    CHECK(single.admit(id(2, 9000), digest, never, at(9000), ignore).admission == order_admission::full);
    single.tick(at(12000));
    REQUIRE(single.count().entries == 0);
    CHECK(single.admit(id(2, 9000), digest, never, at(12000), ignore).admission == order_admission::full);
    CHECK(single.admit(id(3, 9001), digest, never, at(12000), ignore).admission == order_admission::run);
}

// Guards against an id whose entry was dropped after it ran: it must neither run again nor count as not run.
TEST_CASE_FIXTURE(order_table_fixture, "order_table, expired id, stays expired even with an older time") {
    run_to_end(id(1), 0);
    REQUIRE(admit(id(2), 0).admission == order_admission::run);
    REQUIRE(admit(id(3), 0).admission == order_admission::full);
    subject.tick(at(12000));
    CHECK(subject.count().entries == 1); // The entry of a running order is kept.
    CHECK(admit(id(1), 12000).admission == order_admission::expired);
    CHECK(admit(id(3), 12000).admission == order_admission::expired);
    // Simulates a thread that read the clock before the entry was dropped.
    CHECK(admit(id(1), 9000).admission == order_admission::expired);
    CHECK_FALSE(subject.begin_dispatch(id(2), at(9000)).has_value());
    CHECK(subject.refuse(id(2), {}) == refuse_result::refused);
    subject.tick(at(14000));
    CHECK(subject.count().entries == 0);
    CHECK(subject.count().response_bytes == 0);
}

// Guards against running two different orders with the same id.
TEST_CASE_FIXTURE(order_table_fixture, "order_table, same id with other content, is a mismatch") {
    run_to_end(id(1), 0);
    digest.low = 9;
    CHECK(admit(id(1), 0).admission == order_admission::mismatch);
    const order_request a{.method = "POST", .path = "/ab", .body = "c"};
    auto b = a;
    b.path = "/a";
    b.body = "bc";
    CHECK(digest_of(a) != digest_of(b));
}

// Guards against unbounded memory use and against a partial response that is returned as a complete one.
TEST_CASE_FIXTURE(order_table_fixture, "order_table, response above a limit, keeps only the verdict") {
    run_to_end(id(1), 0, std::string(1001, 'x'));
    auto retry = admit(id(1), 0).response;
    CHECK(retry->verdict == run_verdict::ran);
    CHECK(retry->status == 410);
    CHECK(retry->body.empty());
    order_table small{{.shards = 1, .max_entries = 10, .max_bytes = 3000, .recordable_bytes = 1000}};
    for (std::uint64_t n = 1; n <= 5; ++n) {
        small.admit(id(n), digest, never, at(0),
                    [](const shared_response& it) { CHECK(it->body.size() == 1000); });
        small.finish(id(n), *small.begin_dispatch(id(n), at(0)),
                     make_order_response(run_verdict::ran, std::string(1000, 'x')));
        CHECK(small.count().response_bytes <= 3000);
    }
    CHECK(small.admit(id(1), digest, never, at(0), {}).response->body.empty());
    CHECK(small.admit(id(5), digest, never, at(0), {}).response->body.size() == 1000);
    CHECK(small.count().stripped > 0);
}

} // namespace berylcrank
