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
    void set_holder(incarnation it) {
        std::array<incarnation, group_count> holders{};
        holders.fill(it);
        subject.set_holders(holders);
    }
    bool tell(const std::string& process, bool warm, incarnation from = holder) {
        return subject.on_warm_report({upstream, process, warm, ++sequence, from}, now);
    }
    cold_attempt permitted(millis left = millis{2000}, millis limit = millis{1900}) const {
        cold_attempt it{upstream};
        it.set_permit({.id = 9, .upstream = upstream, .holder = holder, .expires = now + left}, limit);
        return it;
    }
    /** A whole exchange on `port` under a permit, which leaves the connection open. */
    void exchange(std::uint16_t port, const std::string& process, bool is_new = true) {
        auto it = permitted();
        REQUIRE(subject.may_send(it, port, is_new, now));
        subject.on_head(it, process, false);
        subject.finish(it, cold_outcome::success);
    }
    bool is_verified(std::uint16_t port, bool is_new = false) {
        cold_attempt it{upstream};
        const bool may = subject.may_send(it, port, is_new, now);
        subject.finish(it, may ? cold_outcome::success : cold_outcome::not_sent);
        return may;
    }
};

} // namespace

TEST_CASE_FIXTURE(gate_fixture,
                  "cold_gate, connection, is verified by a warm incarnation's answer on it only") {
    CHECK_FALSE(is_verified(1, true));
    exchange(1, "p");
    CHECK_FALSE(is_verified(1));
    CHECK(tell("p", true));
    CHECK(is_verified(1));
    CHECK_FALSE(is_verified(2, true)); // A new connection may lead to another process.
    CHECK(subject.verified_connections(upstream) == 1);
}

// Guards against a restart without a sign: the port of a verified connection is used by a new one.
TEST_CASE_FIXTURE(gate_fixture, "cold_gate, port used again or connection lost, is not verified") {
    tell("p", true);
    exchange(1, "p");
    CHECK_FALSE(is_verified(1, true));
    exchange(2, "p");
    cold_attempt it{upstream};
    REQUIRE(subject.may_send(it, 2, false, now));
    subject.finish(it, cold_outcome::connection_lost);
    CHECK_FALSE(is_verified(2));
}

// Guards against an answer on a closed connection that verifies its successor on the same port.
TEST_CASE_FIXTURE(gate_fixture,
                  "cold_gate, late answer of an earlier connection on the port, verifies nothing") {
    tell("old", true);
    auto earlier = permitted();
    REQUIRE(subject.may_send(earlier, 1, true, now));
    auto later = permitted();
    REQUIRE(subject.may_send(later, 1, true, now));
    subject.on_head(earlier, "old", false);
    subject.finish(later, cold_outcome::completed);
    CHECK_FALSE(is_verified(1));
}

TEST_CASE_FIXTURE(gate_fixture, "cold_gate, late news of an earlier incarnation, warms no newer one") {
    exchange(1, "new");
    tell("old", true);
    CHECK_FALSE(is_verified(1));
    auto it = permitted();
    REQUIRE(subject.may_send(it, 1, false, now));
    subject.on_head(it, "old", false); // Two processes behind one connection: never trusted.
    subject.finish(it, cold_outcome::success);
    CHECK_FALSE(is_verified(1));
}

TEST_CASE_FIXTURE(gate_fixture, "cold_gate, news, counts from the holder in force and in its order") {
    CHECK_FALSE(tell("p", true, incarnation{6}));
    CHECK(tell("p", false));
    CHECK_FALSE(subject.on_warm_report({upstream, "p", true, 1, holder}, now));
    CHECK_FALSE(subject.is_warm(upstream, "p"));
    set_holder(incarnation{6});
    CHECK(subject.on_warm_report({upstream, "p", true, 1, incarnation{6}}, now));
    CHECK_FALSE(tell("p", false)); // The holder before, resumed after a pause.
    CHECK(subject.is_warm(upstream, "p"));
    seeded_random random{1};
    CHECK(subject.warm_reports(random, 4, 1, millis{3000}, now).size() == 1);
    set_holder(holder);
    CHECK(subject.warm_reports(random, 4, 1, millis{3000}, now).empty());
}

TEST_CASE_FIXTURE(gate_fixture, "cold_gate, warm incarnation reports cold, needs permits until it does not") {
    tell("p", true);
    exchange(1, "p");
    cold_attempt it{upstream};
    REQUIRE(subject.may_send(it, 1, false, now));
    subject.on_head(it, "p", true);
    const auto report = subject.finish(it, cold_outcome::success);
    REQUIRE(report.has_value());
    CHECK(report->permit == 0);
    CHECK(report->reported_cold);
    CHECK_FALSE(is_verified(1));
    exchange(1, "p", false);
    CHECK(is_verified(1));
}

// Guards against a request that starts after its permit, or outlives it.
TEST_CASE_FIXTURE(gate_fixture, "cold_gate, permit, must cover the whole run limit at the first byte") {
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
    CHECK_FALSE(subject.may_send(once, 2, true, now)); // The HTTP library may not send it again.
    CHECK(subject.count().denied_late == 2);
}

TEST_CASE_FIXTURE(gate_fixture, "cold_gate, attempt given up while the upstream works, keeps its permit") {
    auto it = permitted();
    REQUIRE(subject.may_send(it, 1, true, now));
    CHECK_FALSE(subject.finish(it, cold_outcome::abandoned).has_value());
    tell("p", true);
    auto verified = permitted();
    REQUIRE(subject.may_send(verified, 1, true, now));
    const auto early =
        subject.on_head(verified, "p", false); // Verified now: a long download needs it no more.
    REQUIRE(early.has_value());
    CHECK(early->permit == 9);
    CHECK_FALSE(subject.finish(verified, cold_outcome::abandoned).has_value());
}

TEST_CASE_FIXTURE(gate_fixture, "cold_gate, begin, plans as many attempts as verified connections are idle") {
    tell("p", true);
    exchange(1, "p");
    cold_attempt first{upstream};
    cold_attempt second{upstream};
    CHECK_FALSE(subject.begin(second, true));
    CHECK(subject.begin(first, false));
    CHECK_FALSE(subject.begin(second, false));
    CHECK_FALSE(subject.may_send(first, 2, true, now)); // The pool had closed connection 1.
    subject.finish(first, cold_outcome::not_sent);
    CHECK_FALSE(subject.begin(second, false));
    CHECK(is_verified(1));
    CHECK(subject.begin(second, false));
    subject.finish(second, cold_outcome::not_sent);
    cold_attempt third{upstream};
    CHECK(subject.begin(third, false));
}

} // namespace berylcrank
