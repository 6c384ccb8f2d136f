#include "modules/berylcrank_routing/cold/holder_election.h"
#include "modules/berylcrank_routing/cold/permit_issuer.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

namespace berylcrank {

namespace {

const std::string upstream = "inventario-1";
constexpr incarnation self{77};
constexpr incarnation node_a{1};
constexpr incarnation node_b{2};

struct issuer_fixture {
    permit_issuer subject{{.self = self}};
    cold_limits limits{.concurrency = 1, .warm_requests = 3};
    instant now{millis{100000}};

    issuer_fixture() {
        subject.hold(group_of(upstream), true, now);
        advance(2250);
    }
    void advance(int ms) {
        now = now + millis{ms};
        subject.confirm_holder(now);
    }
    permit_response request(incarnation requester = node_a, request_class cls = request_class::lookup) {
        return subject.acquire(requester, upstream, cls, limits, now);
    }
    void release(std::uint64_t permit, permit_outcome outcome, const std::string& process,
                 bool reported_cold = false) {
        subject.release({permit, upstream, outcome, process, reported_cold}, limits, now);
    }
    void succeed(int count, const std::string& process) {
        for (int i = 0; i < count; ++i) {
            release(request().permit, permit_outcome::good, process);
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(issuer_fixture,
                  "permit_issuer, one permit, is outstanding until it is released or expires") {
    const auto first = request();
    REQUIRE(first.granted);
    CHECK(first.expires_after == millis{2000});
    CHECK_FALSE(request(node_b).granted);
    release(first.permit, permit_outcome::good, "p");
    const auto second = request(node_b);
    CHECK(second.granted);
    advance(2249);
    CHECK_FALSE(request().granted);
    advance(1);
    CHECK(request().granted);
}

// Guards against a repeated or late release that releases the permit of another node.
TEST_CASE_FIXTURE(issuer_fixture,
                  "permit_issuer, repeated and late releases, release no permit and are not counted") {
    const auto first = request();
    release(first.permit, permit_outcome::good, "p");
    const auto second = request(node_b);
    release(first.permit, permit_outcome::good, "p");
    CHECK_FALSE(request().granted);
    advance(2250);
    CHECK(request().granted);
    release(second.permit, permit_outcome::good, "p");
    CHECK_FALSE(request(node_b).granted);
    CHECK(subject.take_warm_reports().empty());
}

// Guards against two holders that issue permits at the same time.
TEST_CASE("permit_issuer, new holder, waits until the permits of the previous holder have expired") {
    permit_issuer subject{{.self = self}};
    const auto group = group_of(upstream);
    const auto request = [&](int ms) {
        subject.confirm_holder(instant{millis{ms}});
        return subject.acquire(node_a, upstream, request_class::order, {}, instant{millis{ms}});
    };
    CHECK_FALSE(request(1).is_holder);
    subject.hold(group, false, instant{millis{1000}});
    CHECK(request(1000).is_holder);
    CHECK(request(1000).retry_after == millis{5750});
    CHECK_FALSE(request(6749).granted);
    CHECK(request(6750).granted);
    subject.retire();
    subject.hold(group, true, instant{millis{7000}}); // Still the holder in the log, but it issues nothing.
    CHECK_FALSE(request(20000).is_holder);
}

TEST_CASE_FIXTURE(issuer_fixture, "permit_issuer, no recent proof of the end of the log, issues nothing") {
    now = now + millis{2501};
    CHECK_FALSE(request().granted);
    CHECK(subject.count().refused_unconfirmed == 1);
    subject.confirm_holder(now - millis{2500});
    CHECK(request().granted);
}

// Guards against downloads that delay orders while the whole pool is cold.
TEST_CASE_FIXTURE(
    issuer_fixture,
    "permit_issuer, requests of several classes, grants orders before lookups before downloads") {
    auto held = request();
    CHECK_FALSE(request(node_a, request_class::download).granted);
    CHECK_FALSE(request(node_a, request_class::lookup).granted);
    CHECK_FALSE(request(node_b, request_class::order).granted);
    release(held.permit, permit_outcome::good, "p");
    CHECK_FALSE(request(node_a, request_class::download).granted);
    CHECK_FALSE(request(node_a, request_class::lookup).granted);
    held = request(node_b, request_class::order);
    REQUIRE(held.granted);
    release(held.permit, permit_outcome::good, "p");
    CHECK_FALSE(request(node_a, request_class::download).granted);
    advance(100); // The lookup is not requested again, so it no longer delays the download.
    CHECK(request(node_a, request_class::download).granted);
}

// Guards against successes of an earlier process that make a newer one warm.
TEST_CASE_FIXTURE(issuer_fixture, "permit_issuer, successes, declare only their own incarnation warm") {
    succeed(2, "old");
    succeed(2, "new");
    CHECK(subject.take_warm_reports().empty());
    succeed(1, "old");
    auto reports = subject.take_warm_reports();
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].upstream_incarnation == "old");
    succeed(1, "new");
    reports = subject.take_warm_reports();
    REQUIRE(reports.size() == 1);
    CHECK(reports[0] == warm_report{upstream, "new", true, 2, self});
    release(0, permit_outcome::unused, "new", true);
    reports = subject.take_warm_reports();
    REQUIRE(reports.size() == 1);
    CHECK_FALSE(reports[0].warm);
    CHECK(reports[0].sequence == 3);
}

TEST_CASE("holder_election, no holder, distributes the groups and the preferred node proposes first") {
    std::vector<incarnation> alive;
    seeded_random random{3};
    for (int i = 0; i < 15; ++i) {
        alive.push_back(incarnation{random.next()});
    }
    const std::array<incarnation, group_count> holders{};
    const auto none_ended = [](incarnation) { return false; };
    std::map<std::uint32_t, int> proposals;
    for (const auto self_run : alive) {
        holder_election subject{{.self = self_run, .burst = group_count}};
        subject.propose(holders, alive, none_ended, random, instant{});
        std::size_t own = 0;
        for (const auto& record : subject.propose(holders, alive, none_ended, random, instant{millis{300}})) {
            ++proposals[record.group];
            ++own;
        }
        CHECK(own <= 12); // 64 groups on 15 nodes: about 4 on average.
    }
    CHECK(proposals.size() == group_count);
    CHECK(std::ranges::all_of(proposals, [](const auto& it) { return it.second == 1; }));
}

// Guards against replacing a holder that is only paused or silent.
TEST_CASE("holder_election, existing holder, proposes only after its end and repeats a lost append") {
    holder_election subject{{.self = node_a, .burst = group_count}};
    seeded_random random{1};
    std::array<incarnation, group_count> holders{};
    holders.fill(node_b);
    const std::vector<incarnation> alive{node_a};
    bool has_ended = false;
    const auto propose = [&](int ms) {
        return subject.propose(
            holders, alive, [&](incarnation) { return has_ended; }, random, instant{millis{ms}});
    };
    CHECK(propose(0).empty());
    CHECK(propose(100000).empty());
    has_ended = true;
    CHECK(propose(100001).size() <= group_count);
    CHECK(propose(100300).size() + propose(101000).size() <= group_count);
    const auto repeated = propose(104000);
    REQUIRE(repeated.size() == group_count);
    CHECK(repeated[0] == holder_assignment{.group = 0, .holder = node_a, .replaces = node_b});
    holders.fill(node_a);
    const auto handed_over = subject.hand_over(holders, std::vector<incarnation>{node_a, node_b});
    REQUIRE(handed_over.size() == group_count);
    CHECK(handed_over[0] ==
          holder_assignment{.group = 0, .holder = node_b, .replaces = node_a, .is_hand_over = true});
    CHECK(subject.hand_over(holders, alive).empty());
}

} // namespace berylcrank
