#include "modules/berylcrank_membership/berylcrank_membership.h"

#include <doctest/doctest.h>
#include <map>

namespace berylcrank {

namespace {

struct selector_fixture {
    address_selector subject{{.address_ttl = millis{5000}, .count = 3}};
    std::vector<peer_member> members;

    selector_fixture() {
        for (int i = 0; i < 9; ++i) {
            const auto name = std::string(1, static_cast<char>('a' + i));
            members.push_back({.info = {.vm = name,
                                        .run = incarnation{static_cast<std::uint64_t>(i) + 1},
                                        .failure_domain = "fd-" + std::to_string(i % 3),
                                        .http_address = name}});
        }
    }
    void update(const std::string& out_of_use = "") {
        subject.update(members, [&](std::string_view it) { return it != out_of_use; });
    }
    std::map<std::string, int> shares(std::string_view domain, int calls) {
        std::map<std::string, int> out;
        for (int i = 0; i < calls; ++i) {
            for (const auto& it : subject.select(domain).addresses) {
                ++out[it];
            }
        }
        return out;
    }
};

} // namespace

TEST_CASE_FIXTURE(
    selector_fixture,
    "address_selector, all alive, distributes evenly and puts the caller's failure domain first") {
    update();
    const auto all = shares("", 90);
    CHECK(all.size() == 9);
    for (const auto& [address, count] : all) {
        CHECK(count == 30);
    }
    for (const auto& it : subject.select("fd-1").addresses) {
        CHECK((it == "b" || it == "e" || it == "h"));
    }
    CHECK(subject.select("").address_ttl == millis{5000});
}

// Guards against directing callers to a node that has no configuration yet and refuses all requests.
TEST_CASE_FIXTURE(selector_fixture,
                  "address_selector, some starting, selects the others; all starting, selects all") {
    members[0].info.starting = true;
    members[1].state = peer_state::leaving;
    update();
    CHECK(shares("", 90).size() == 7);
    for (std::size_t i = 2; i < members.size(); ++i) {
        members[i].info.starting = true;
    }
    update();
    CHECK(subject.select("").addresses == std::vector<std::string>{"b"}); // A leaving node still serves.
    members[1].info.starting = true;
    update();
    CHECK_FALSE(subject.select("").addresses.empty());
}

// Guards against directing callers to nodes that are about to exit.
TEST_CASE_FIXTURE(selector_fixture,
                  "address_selector, all leaving but one, selects that one; all leaving, selects all") {
    for (std::size_t i = 1; i < members.size(); ++i) {
        members[i].state = peer_state::leaving;
    }
    update();
    CHECK(subject.select("fd-1").addresses == std::vector<std::string>{"a"});
    members[0].state = peer_state::leaving;
    update();
    CHECK(subject.select("").addresses.size() == 3);
}

TEST_CASE_FIXTURE(
    selector_fixture,
    "address_selector, failure domain out of use, excludes its nodes unless all are out of use") {
    update("fd-0");
    CHECK(shares("fd-0", 60).size() == 6);
    CHECK_FALSE(shares("", 60).contains("a"));
    subject.update(members, [](std::string_view) { return false; });
    CHECK(shares("", 60).size() == 9);
}

// Guards against a fault at this node that makes it exclude most of the other nodes.
TEST_CASE_FIXTURE(selector_fixture, "address_selector, more than a third silent, includes silent nodes") {
    for (int i = 0; i < 3; ++i) {
        members[i].state = peer_state::silent;
    }
    update();
    CHECK_FALSE(subject.is_fail_open());
    CHECK(shares("", 60).size() == 6);
    members[3].state = peer_state::silent;
    update();
    CHECK(subject.is_fail_open());
    CHECK(shares("", 60).size() == 9);
}

// Guards against an exit while callers still use this node's address or wait for a response.
TEST_CASE("exit_policy, planned stop, waits for notifications, address TTL and requests") {
    exit_policy subject{{.address_ttl = millis{5000}, .notify_timeout = millis{3000}, .idle = millis{200}}};
    const auto at = [](int ms) { return instant{millis{ms}}; };
    CHECK_FALSE(subject.may_exit(0, 0, at(0)));
    subject.start(at(0));
    CHECK_FALSE(subject.may_exit(2, 0, at(1000)));
    CHECK_FALSE(subject.may_exit(0, 0, at(2000))); // All members are notified, so the TTL starts.
    CHECK_FALSE(subject.may_exit(0, 1, at(7000))); // A request is in flight.
    CHECK_FALSE(subject.may_exit(0, 0, at(7100)));
    CHECK(subject.may_exit(0, 0, at(7300)));
}

TEST_CASE("exit_policy, peer that is never notified, does not block the exit") {
    exit_policy subject{{.address_ttl = millis{5000}, .notify_timeout = millis{3000}, .idle = millis{200}}};
    subject.start(instant{});
    CHECK_FALSE(subject.may_exit(1, 0, instant{millis{3000}}));
    CHECK_FALSE(subject.may_exit(1, 0, instant{millis{7999}}));
    CHECK(subject.may_exit(1, 0, instant{millis{8000}}));
}

} // namespace berylcrank
