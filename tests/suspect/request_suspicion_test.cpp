#include "tests/suspect/suspect_fixture.h"

#include <doctest/doctest.h>

namespace berylcrank {

namespace {

using action_kind = suspect_verdict::action_kind;
using testing::suspect_fixture;

} // namespace

// field.
TEST_CASE("request fingerprints, any field differs, differ") {
    const request_identity it{.method = "GET", .host = "h", .target = "/a", .caller = "1", .body = "x"};
    const auto fingerprints = fingerprints_of(it);
    CHECK(fingerprints == fingerprints_of(it));
    std::set<std::uint64_t> all{fingerprints.of_caller, fingerprints.of_request};
    for (auto field : {&request_identity::method, &request_identity::host, &request_identity::target,
                       &request_identity::body}) {
        auto other = it;
        other.*field = "other";
        all.insert(fingerprints_of(other).of_caller);
        all.insert(fingerprints_of(other).of_request);
    }
    all.insert(fingerprints_of({.method = "GET", .host = "h", .target = "/a1", .caller = "", .body = "x"})
                   .of_caller);
    CHECK(all.size() == 11);
}

// Guards against a request that has as many crashes as it has callers' addresses before it is refused.
TEST_CASE("request fingerprints, caller differs, only the hash of the request is equal") {
    const auto first =
        fingerprints_of({.method = "GET", .host = "h", .target = "/a", .caller = "1", .body = "x"});
    const auto second =
        fingerprints_of({.method = "GET", .host = "h", .target = "/a", .caller = "2", .body = "x"});
    CHECK(first.of_request == second.of_request);
    CHECK(first.of_caller != second.of_caller);
}

// Guards against a request that crashes an upstream for each address that it comes from.
TEST_CASE_FIXTURE(suspect_fixture,
                  "request suspicion, crashes come from several callers, refuses all callers") {
    for (std::uint64_t caller = 1; caller <= 3; ++caller) {
        CHECK(action(first, caller_request(caller)) == action_kind::run);
        crash(first, caller_request(caller));
    }
    CHECK(action(first, caller_request(4)) == action_kind::refuse);
    exchange_reports();
    CHECK(action(second, caller_request(5)) == action_kind::refuse);
}

// Guards against a request that crashes upstreams for one caller without end because it succeeds for others.
TEST_CASE_FIXTURE(
    suspect_fixture,
    "request suspicion, request succeeds for other callers, refuses it to the caller it crashes for") {
    for (int n = 0; n < 3; ++n) {
        crash(first, caller_request(1));
        request_suspicion(first, caller_request(2)).on_success(now);
    }
    CHECK(action(first, caller_request(1)) == action_kind::refuse);
    CHECK(action(first, caller_request(2)) == action_kind::run);
}

// Guards against a trial that is started but not sent, because the other entry of the request refuses it.
TEST_CASE_FIXTURE(suspect_fixture, "request suspicion, one entry refuses, starts no trial of the other") {
    for (int n = 0; n < 3; ++n) {
        crash(first, caller_request(1));
    }
    crash(first, caller_request(1).of_caller); // refused for twice the time
    now = now + options.refusal;
    CHECK(action(first, caller_request(1)) == action_kind::refuse);
    CHECK(action(first, caller_request(2)) == action_kind::trial);
}

} // namespace berylcrank
