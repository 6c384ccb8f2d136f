#include "modules/berylcrank_routing/cold/cold_gate.h"

#include <doctest/doctest.h>

namespace berylcrank {

namespace {

const std::string upstream = "pedidos-3";
constexpr incarnation holder{5};

struct gate_fixture {
    cold_gate subject;
    instant now{millis{50000}};
    std::uint64_t sequence{0};

    gate_fixture() { set_holder(holder); }
    void set_holder(incarnation node) {
        std::array<incarnation, group_count> holders{};
        holders.fill(node);
        subject.set_holders(holders);
    }
    bool report(const std::string& process, bool warm, incarnation from = holder) {
        return subject.on_warm_report({upstream, process, warm, ++sequence, from}, now);
    }
    cold_attempt permitted(millis left = millis{2000}, millis limit = millis{1900}) const {
        cold_attempt attempt{upstream};
        attempt.set_permit({.id = 9, .upstream = upstream, .holder = holder, .expires = now + left}, limit);
        return attempt;
    }
    /** A complete request and response on `port` under a permit; the connection stays open. */
    void exchange(std::uint16_t port, const std::string& process, bool is_new = true) {
        auto attempt = permitted();
        REQUIRE(subject.may_send(attempt, port, is_new, now));
        subject.on_head(attempt, process, false);
        subject.finish(attempt, cold_outcome::success);
    }
    bool is_verified(std::uint16_t port, bool is_new = false) {
        cold_attempt attempt{upstream};
        const bool may_send = subject.may_send(attempt, port, is_new, now);
        subject.finish(attempt, may_send ? cold_outcome::success : cold_outcome::not_sent);
        return may_send;
    }
};

} // namespace

TEST_CASE_FIXTURE(gate_fixture,
                  "cold_gate, connection, is verified only by a response of a warm incarnation on it") {
    CHECK_FALSE(is_verified(1, true));
    exchange(1, "p");
    CHECK_FALSE(is_verified(1));
    CHECK(report("p", true));
    CHECK(is_verified(1));
    CHECK_FALSE(is_verified(2, true)); // A new connection may reach another process.
    CHECK(subject.verified_connections(upstream) == 1);
}

// Guards against an undetected restart in which a new connection reuses the port of a verified one.
TEST_CASE_FIXTURE(gate_fixture, "cold_gate, reused port or lost connection, is not verified") {
    report("p", true);
    exchange(1, "p");
    CHECK_FALSE(is_verified(1, true));
    exchange(2, "p");
    cold_attempt attempt{upstream};
    REQUIRE(subject.may_send(attempt, 2, false, now));
    subject.finish(attempt, cold_outcome::connection_lost);
    CHECK_FALSE(is_verified(2));
}

// Guards against a response on a closed connection that verifies the next connection on the same port.
TEST_CASE_FIXTURE(gate_fixture,
                  "cold_gate, late response of an earlier connection on the port, verifies nothing") {
    report("old", true);
    auto earlier = permitted();
    REQUIRE(subject.may_send(earlier, 1, true, now));
    auto later = permitted();
    REQUIRE(subject.may_send(later, 1, true, now));
    subject.on_head(earlier, "old", false);
    subject.finish(later, cold_outcome::completed);
    CHECK_FALSE(is_verified(1));
}

TEST_CASE_FIXTURE(gate_fixture,
                  "cold_gate, late warm report for an earlier incarnation, has no effect on a newer one") {
    exchange(1, "new");
    report("old", true);
    CHECK_FALSE(is_verified(1));
    auto attempt = permitted();
    REQUIRE(subject.may_send(attempt, 1, false, now));
    subject.on_head(attempt, "old", false); // Two processes behind one connection: it is never verified.
    subject.finish(attempt, cold_outcome::success);
    CHECK_FALSE(is_verified(1));
}

TEST_CASE_FIXTURE(gate_fixture,
                  "cold_gate, warm reports, apply only from the holder in force and in sequence") {
    CHECK_FALSE(report("p", true, incarnation{6}));
    CHECK(report("p", false));
    CHECK_FALSE(subject.on_warm_report({upstream, "p", true, 1, holder}, now));
    CHECK_FALSE(subject.is_warm(upstream, "p"));
    set_holder(incarnation{6});
    CHECK(subject.on_warm_report({upstream, "p", true, 1, incarnation{6}}, now));
    CHECK_FALSE(report("p", false)); // The previous holder, resumed after a pause.
    CHECK(subject.is_warm(upstream, "p"));
    seeded_random random{1};
    CHECK(subject.warm_reports(random, 4, 1, millis{3000}, now).size() == 1);
    set_holder(holder);
    CHECK(subject.warm_reports(random, 4, 1, millis{3000}, now).empty());
}

TEST_CASE_FIXTURE(gate_fixture,
                  "cold_gate, warm incarnation that reports cold, needs permits until it reports warm") {
    report("p", true);
    exchange(1, "p");
    cold_attempt attempt{upstream};
    REQUIRE(subject.may_send(attempt, 1, false, now));
    subject.on_head(attempt, "p", true);
    const auto release = subject.finish(attempt, cold_outcome::success);
    REQUIRE(release.has_value());
    CHECK(release->permit == 0);
    CHECK(release->reported_cold);
    CHECK_FALSE(is_verified(1));
    exchange(1, "p", false);
    CHECK(is_verified(1));
}

// Guards against a request that starts after its permit has expired, or runs longer than the permit.
TEST_CASE_FIXTURE(gate_fixture, "cold_gate, permit, must cover the complete run limit at the first byte") {
    auto late = permitted(millis{2000}, millis{1900});
    now = now + millis{101};
    CHECK_FALSE(subject.may_send(late, 1, true, now));
    const auto unused = subject.finish(late, cold_outcome::not_sent);
    REQUIRE(unused.has_value());
    CHECK(unused->outcome == permit_outcome::unused);
    auto unlimited = permitted(millis{2000}, millis{0});
    CHECK_FALSE(subject.may_send(unlimited, 1, true, now));
    cold_attempt other{upstream};
    other.set_permit({.id = 3, .upstream = "pedidos-4", .expires = now + millis{2000}}, millis{1});
    CHECK_FALSE(subject.may_send(other, 1, true, now));
    auto once = permitted();
    CHECK(subject.may_send(once, 1, true, now));
    CHECK_FALSE(subject.may_send(once, 2, true, now)); // The HTTP library must not resend it.
    CHECK(subject.count().denied_expiring == 2);
}

TEST_CASE_FIXTURE(gate_fixture, "cold_gate, attempt abandoned while the upstream runs it, keeps its permit") {
    auto attempt = permitted();
    REQUIRE(subject.may_send(attempt, 1, true, now));
    CHECK_FALSE(subject.finish(attempt, cold_outcome::abandoned).has_value());
    report("p", true);
    auto verified = permitted();
    REQUIRE(subject.may_send(verified, 1, true, now));
    const auto early =
        subject.on_head(verified, "p", false); // Verified now: a long download no longer needs it.
    REQUIRE(early.has_value());
    CHECK(early->permit == 9);
    CHECK_FALSE(subject.finish(verified, cold_outcome::abandoned).has_value());
}

TEST_CASE_FIXTURE(gate_fixture,
                  "cold_gate, begin, reserves at most as many connections as are verified and idle") {
    report("p", true);
    exchange(1, "p");
    cold_attempt first{upstream};
    cold_attempt second{upstream};
    CHECK_FALSE(subject.begin(second, true));
    CHECK(subject.begin(first, false));
    CHECK_FALSE(subject.begin(second, false));
    CHECK_FALSE(subject.may_send(first, 2, true, now)); // The pool has closed connection 1.
    subject.finish(first, cold_outcome::not_sent);
    CHECK_FALSE(subject.begin(second, false));
    CHECK(is_verified(1));
    CHECK(subject.begin(second, false));
    subject.finish(second, cold_outcome::not_sent);
    cold_attempt third{upstream};
    CHECK(subject.begin(third, false));
}

} // namespace berylcrank
