#include "modules/berylcrank_routing/suspect/suspect_table.h"

#include <doctest/doctest.h>

namespace berylcrank {

namespace {

using action_kind = suspect_verdict::action_kind;

struct suspect_fixture {
    suspect_table a{{.self = {1}}};
    suspect_table b{{.self = {2}}};
    static constexpr std::uint64_t request = 42;
    static constexpr std::uint64_t bystander = 43;
    instant now{millis{1000}};

    static void tell(suspect_table& to, const std::optional<crash_news>& news, instant when) {
        if (news) {
            to.merge({&*news, 1}, when);
        }
    }

    void crash(std::uint64_t fingerprint, const char* upstream_incarnation) {
        tell(b, a.on_connection_lost(fingerprint, "u", upstream_incarnation, 2, now), now);
    }
};

} // namespace

// Guards against a suspect that runs on two upstreams at once.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, after one crash, only the reporter tries it, one copy at a time") {
    crash(request, "i1");
    CHECK(b.check(request, now).action == action_kind::relay);
    CHECK(b.check(request, now).owner == incarnation{1});
    CHECK(a.check(request, now).action == action_kind::run_alone);
    CHECK(a.check(request, now).action == action_kind::wait);
    a.on_trial_unused(request);
    CHECK(a.check(request, now).action == action_kind::run_alone);
}

TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, crash in the trial, refuses everywhere for a while, then tries once") {
    crash(request, "i1");
    REQUIRE(a.check(request, now).action == action_kind::run_alone);
    crash(request, "i2");
    CHECK(a.check(request, now + millis{59999}).action == action_kind::refuse);
    CHECK(b.check(request, now + millis{59999}).action == action_kind::refuse);
    now = now + millis{60000};
    CHECK(b.check(request, now).action == action_kind::relay);
    REQUIRE(a.check(request, now).action == action_kind::run_alone);
    crash(request, "i3");
    CHECK(a.check(request, now).action == action_kind::refuse);
}

TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, good answer, clears everywhere and old news does not bring it back") {
    const auto old = a.on_connection_lost(request, "u", "i1", 2, now);
    tell(b, old, now);
    REQUIRE(a.check(request, now).action == action_kind::run_alone);
    tell(b, a.on_success(request, now), now);
    CHECK(a.check(request, now).action == action_kind::run);
    CHECK(b.check(request, now).action == action_kind::run);
    tell(b, old, now + millis{300}); // gossip repeats it
    CHECK(b.check(request, now + millis{300}).action == action_kind::run);
}

// Guards against innocent requests refused because they were in flight when a suspect crashed an upstream.
TEST_CASE_FIXTURE(suspect_fixture, "suspect_table, crash explained by a trial, clears the bystanders") {
    crash(request, "i1");
    REQUIRE(a.check(request, now).action == action_kind::run_alone);
    tell(a, b.on_connection_lost(bystander, "u", "i2", 3, now), now);
    CHECK(a.check(bystander, now).action == action_kind::relay);
    crash(request, "i2");
    CHECK(a.check(bystander, now).action == action_kind::run);
    CHECK(b.check(bystander, now).action == action_kind::run);
}

TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, recent good answer, protects from a first suspicion only once") {
    a.on_success(request, now);
    CHECK_FALSE(a.on_connection_lost(request, "u", "i1", 2, now).has_value());
    CHECK(a.check(request, now).action == action_kind::run);
    CHECK(a.on_connection_lost(request, "u", "i2", 2, now).has_value());
    CHECK(a.check(request, now).action == action_kind::run_alone);
}

// Guards against a lost failure domain that gets popular requests refused.
TEST_CASE_FIXTURE(suspect_fixture,
                  "suspect_table, several upstreams lost at once, suspects but does not refuse") {
    for (const auto* name : {"u1", "u2", "u3"}) {
        tell(b, a.on_connection_lost(request, name, "i", 2, now), now);
        tell(a, b.on_connection_lost(request, name, "i", 2, now), now);
    }
    CHECK(a.check(request, now).action == action_kind::run_alone);
    CHECK(b.check(request, now).action == action_kind::relay);
}

TEST_CASE_FIXTURE(suspect_fixture, "suspect_table, owner gone or time passed, forgets") {
    crash(request, "i1");
    b.on_gone(incarnation{1});
    CHECK(b.check(request, now).action == action_kind::run);
    CHECK(a.recent_crash_reports(10, now).size() == 1);
    CHECK(b.recent_crash_reports(10, now).empty()); // only own news is gossiped
    CHECK(a.check(request, now + millis{121000}).action == action_kind::run);
    CHECK(a.size() == 0);
}

} // namespace berylcrank
