#include "modules/berylcrank_routing/suspect/suspect_table.h"

#include <doctest/doctest.h>

namespace berylcrank {

namespace {

using action_kind = suspect_verdict::action_kind;

struct suspect_fixture {
    suspect_table first{{.self = {1}}};
    suspect_table second{{.self = {2}}};
    static constexpr std::uint64_t request = 42;
    static constexpr std::uint64_t bystander = 43;
    instant now{millis{1000}};

    static void deliver(suspect_table& to, const std::optional<crash_report>& report, instant when) {
        if (report) {
            to.merge({&*report, 1}, when);
        }
    }

    void crash(std::uint64_t fingerprint, const char* upstream_incarnation) {
        deliver(second, first.on_connection_lost(fingerprint, "u", upstream_incarnation, 2, now), now);
    }
};

} // namespace

// Guards against a suspect that runs on two upstreams at once.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, one crash, only the reporter tries the request, one copy at a time") {
    crash(request, "i1");
    CHECK(second.check(request, now).action == action_kind::relay);
    CHECK(second.check(request, now).owner == incarnation{1});
    CHECK(first.check(request, now).action == action_kind::run_alone);
    CHECK(first.check(request, now).action == action_kind::wait);
    first.on_trial_unused(request);
    CHECK(first.check(request, now).action == action_kind::run_alone);
}

TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, crash in a trial, refuses at all nodes for a time, then allows one trial") {
    crash(request, "i1");
    REQUIRE(first.check(request, now).action == action_kind::run_alone);
    crash(request, "i2");
    CHECK(first.check(request, now + millis{59999}).action == action_kind::refuse);
    CHECK(second.check(request, now + millis{59999}).action == action_kind::refuse);
    now = now + millis{60000};
    CHECK(second.check(request, now).action == action_kind::relay);
    REQUIRE(first.check(request, now).action == action_kind::run_alone);
    crash(request, "i3");
    CHECK(first.check(request, now).action == action_kind::refuse);
}

TEST_CASE_FIXTURE(
    suspect_fixture,
    "suspect_table, success, clears the suspect at all nodes and old reports do not restore it") {
    const auto old = first.on_connection_lost(request, "u", "i1", 2, now);
    deliver(second, old, now);
    REQUIRE(first.check(request, now).action == action_kind::run_alone);
    deliver(second, first.on_success(request, now), now);
    CHECK(first.check(request, now).action == action_kind::run);
    CHECK(second.check(request, now).action == action_kind::run);
    deliver(second, old, now + millis{300}); // repeated by gossip
    CHECK(second.check(request, now + millis{300}).action == action_kind::run);
}

// Guards against refusing innocent requests that were in flight when a suspect crashed an upstream.
TEST_CASE_FIXTURE(suspect_fixture, "suspect_table, crash attributed to a trial, clears the other requests") {
    crash(request, "i1");
    REQUIRE(first.check(request, now).action == action_kind::run_alone);
    deliver(first, second.on_connection_lost(bystander, "u", "i2", 3, now), now);
    CHECK(first.check(bystander, now).action == action_kind::relay);
    crash(request, "i2");
    CHECK(first.check(bystander, now).action == action_kind::run);
    CHECK(second.check(bystander, now).action == action_kind::run);
}

TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, recent success, protects from the first suspicion only once") {
    first.on_success(request, now);
    CHECK_FALSE(first.on_connection_lost(request, "u", "i1", 2, now).has_value());
    CHECK(first.check(request, now).action == action_kind::run);
    CHECK(first.on_connection_lost(request, "u", "i2", 2, now).has_value());
    CHECK(first.check(request, now).action == action_kind::run_alone);
}

// Guards against refusing popular requests after the loss of a failure domain.
TEST_CASE_FIXTURE(
    suspect_fixture,
    "suspect_table, several upstreams lost at once, suspects the request but does not refuse it") {
    for (const auto* name : {"u1", "u2", "u3"}) {
        deliver(second, first.on_connection_lost(request, name, "i", 2, now), now);
        deliver(first, second.on_connection_lost(request, name, "i", 2, now), now);
    }
    CHECK(first.check(request, now).action == action_kind::run_alone);
    CHECK(second.check(request, now).action == action_kind::relay);
}

TEST_CASE_FIXTURE(suspect_fixture, "suspect_table, owner gone or lifetime passed, drops the suspect") {
    crash(request, "i1");
    second.on_gone(incarnation{1});
    CHECK(second.check(request, now).action == action_kind::run);
    CHECK(first.recent_crash_reports(10, now).size() == 1);
    CHECK(second.recent_crash_reports(10, now).empty()); // a node gossips only its own reports
    CHECK(first.check(request, now + millis{121000}).action == action_kind::run);
    CHECK(first.size() == 0);
}

} // namespace berylcrank
