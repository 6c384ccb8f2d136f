#include "modules/berylcrank_routing/cold/holder_election.h"
#include "modules/berylcrank_routing/cold/permit_issuer.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

namespace berylcrank {

namespace {

const std::string upstream = "inventario-1";
constexpr incarnation self{77};
constexpr incarnation a{1};
constexpr incarnation b{2};

struct issuer_fixture {
    permit_issuer subject{{.self = self}};
    cold_limits limits{.concurrency = 1, .warm_requests = 3};
    instant now{millis{100000}};

    issuer_fixture() {
        subject.hold(group_of(upstream), true, now);
        pass(2250);
    }
    void pass(int ms) {
        now = now + millis{ms};
        subject.confirm_holder(now);
    }
    permit_response ask(incarnation who = a, request_class it = request_class::lookup) {
        return subject.acquire(who, upstream, it, limits, now);
    }
    void give_back(std::uint64_t permit, permit_outcome outcome, const std::string& process,
                   bool reported_cold = false) {
        subject.release({permit, upstream, outcome, process, reported_cold}, limits, now);
    }
    void serve(int count, const std::string& process) {
        for (int i = 0; i < count; ++i) {
            give_back(ask().permit, permit_outcome::good, process);
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(issuer_fixture, "permit_issuer, one permit, is outstanding until released or expired") {
    const auto first = ask();
    REQUIRE(first.granted);
    CHECK(first.expires_after == millis{2000});
    CHECK_FALSE(ask(b).granted);
    give_back(first.permit, permit_outcome::good, "p");
    const auto second = ask(b);
    CHECK(second.granted);
    pass(2249);
    CHECK_FALSE(ask().granted);
    pass(1);
    CHECK(ask().granted);
}

// Guards against a duplicated or late release that frees another node's permit.
TEST_CASE_FIXTURE(issuer_fixture,
                  "permit_issuer, repeated and late releases, free nothing and count nothing") {
    const auto first = ask();
    give_back(first.permit, permit_outcome::good, "p");
    const auto second = ask(b);
    give_back(first.permit, permit_outcome::good, "p");
    CHECK_FALSE(ask().granted);
    pass(2250);
    CHECK(ask().granted);
    give_back(second.permit, permit_outcome::good, "p");
    CHECK_FALSE(ask(b).granted);
    CHECK(subject.take_warm_reports().empty());
}

// Guards against two holders that issue at the same time.
TEST_CASE("permit_issuer, new holder, waits until permits of the one before have ended") {
    permit_issuer subject{{.self = self}};
    const auto group = group_of(upstream);
    const auto ask = [&](int ms) {
        subject.confirm_holder(instant{millis{ms}});
        return subject.acquire(a, upstream, request_class::order, {}, instant{millis{ms}});
    };
    CHECK_FALSE(ask(1).is_holder);
    subject.hold(group, false, instant{millis{1000}});
    CHECK(ask(1000).is_holder);
    CHECK(ask(1000).retry_after == millis{5750});
    CHECK_FALSE(ask(6749).granted);
    CHECK(ask(6750).granted);
    subject.retire();
    subject.hold(group, true, instant{millis{7000}}); // The log still names it: nothing is issued any more.
    CHECK_FALSE(ask(20000).is_holder);
}

TEST_CASE_FIXTURE(issuer_fixture, "permit_issuer, no proof of the log's end, issues nothing") {
    now = now + millis{2501};
    CHECK_FALSE(ask().granted);
    CHECK(subject.count().refused_unconfirmed == 1);
    subject.confirm_holder(now - millis{2500});
    CHECK(ask().granted);
}

// Guards against downloads that keep orders waiting while the whole pool is cold.
TEST_CASE_FIXTURE(issuer_fixture,
                  "permit_issuer, several classes ask, serves orders before lookups before downloads") {
    auto held = ask();
    CHECK_FALSE(ask(a, request_class::download).granted);
    CHECK_FALSE(ask(a, request_class::lookup).granted);
    CHECK_FALSE(ask(b, request_class::order).granted);
    give_back(held.permit, permit_outcome::good, "p");
    CHECK_FALSE(ask(a, request_class::download).granted);
    CHECK_FALSE(ask(a, request_class::lookup).granted);
    held = ask(b, request_class::order);
    REQUIRE(held.granted);
    give_back(held.permit, permit_outcome::good, "p");
    CHECK_FALSE(ask(a, request_class::download).granted);
    pass(100); // The lookup is not asked for again; nothing waits for it for ever.
    CHECK(ask(a, request_class::download).granted);
}

// Guards against counts of an earlier process that make a newer one warm.
TEST_CASE_FIXTURE(issuer_fixture,
                  "permit_issuer, good answers, declare exactly the incarnation that gave them") {
    serve(2, "old");
    serve(2, "new");
    CHECK(subject.take_warm_reports().empty());
    serve(1, "old");
    auto news = subject.take_warm_reports();
    REQUIRE(news.size() == 1);
    CHECK(news[0].upstream_incarnation == "old");
    serve(1, "new");
    news = subject.take_warm_reports();
    REQUIRE(news.size() == 1);
    CHECK(news[0] == warm_news{upstream, "new", true, 2, self});
    give_back(0, permit_outcome::unused, "new", true);
    news = subject.take_warm_reports();
    REQUIRE(news.size() == 1);
    CHECK_FALSE(news[0].warm);
    CHECK(news[0].sequence == 3);
}

TEST_CASE("group_assignment, no holder, spreads the groups and the preferred node proposes first") {
    std::vector<incarnation> alive;
    seeded_random random{3};
    for (int i = 0; i < 15; ++i) {
        alive.push_back(incarnation{random.next()});
    }
    const std::array<incarnation, group_count> holders{};
    const auto nobody = [](incarnation) { return false; };
    std::map<std::uint32_t, int> proposals;
    for (const auto self_run : alive) {
        holder_election subject{{.self = self_run, .burst = group_count}};
        subject.propose(holders, alive, nobody, random, instant{});
        std::size_t own = 0;
        for (const auto& it : subject.propose(holders, alive, nobody, random, instant{millis{300}})) {
            ++proposals[it.group];
            ++own;
        }
        CHECK(own <= 12); // 64 groups over 15 nodes: 4 on average.
    }
    CHECK(proposals.size() == group_count);
    CHECK(std::ranges::all_of(proposals, [](const auto& it) { return it.second == 1; }));
}

// Guards against taking groups from a holder that is only paused or silent.
TEST_CASE("group_assignment, holder present, proposes only after its end and repeats a lost append") {
    holder_election subject{{.self = a, .burst = group_count}};
    seeded_random random{1};
    std::array<incarnation, group_count> holders{};
    holders.fill(b);
    const std::vector<incarnation> alive{a};
    bool is_over = false;
    const auto ask = [&](int ms) {
        return subject.propose(
            holders, alive, [&](incarnation) { return is_over; }, random, instant{millis{ms}});
    };
    CHECK(ask(0).empty());
    CHECK(ask(100000).empty());
    is_over = true;
    CHECK(ask(100001).size() <= group_count);
    CHECK(ask(100300).size() + ask(101000).size() <= group_count);
    const auto again = ask(104000);
    REQUIRE(again.size() == group_count);
    CHECK(again[0] == group_record{.group = 0, .holder = a, .replaces = b});
    holders.fill(a);
    const auto given = subject.hand_over(holders, std::vector<incarnation>{a, b});
    REQUIRE(given.size() == group_count);
    CHECK(given[0] == group_record{.group = 0, .holder = b, .replaces = a, .is_hand_over = true});
    CHECK(subject.hand_over(holders, alive).empty());
}

} // namespace berylcrank
