#include "modules/berylcrank_membership/berylcrank_membership.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

namespace berylcrank {

namespace {

constexpr instant start{millis{100000}};

peer_info info_of(int vm, std::uint64_t run) {
    const auto name = "vm-" + std::to_string(vm);
    return {.vm = name,
            .run = incarnation{run},
            .failure_domain = "fd-" + std::to_string(vm % 3),
            .http_address = name + ":80",
            .rpc_address = name + ":81"};
}

std::vector<vm_seed> make_vm_list(int count) {
    std::vector<vm_seed> out;
    for (int i = 0; i < count; ++i) {
        const auto it = info_of(i, 1);
        out.push_back({it.vm, it.failure_domain, "r", it.http_address, it.rpc_address, false});
    }
    return out;
}

gossip_message message_from(const peer_info& it) {
    return {.sender = it};
}

peer_info with_heartbeat_age(peer_info it, millis age) {
    it.heartbeat_age = age;
    return it;
}

/** vm-0 with run 1 is this node. vm-1 to vm-4 have runs 11 to 14 and have just sent a message. */
struct peer_view_fixture {
    peer_view subject{{.self = info_of(0, 1)}};
    seeded_random random{1};
    instant now{start};

    peer_view_fixture() {
        subject.apply_vm_list(make_vm_list(5), now);
        for (int i = 1; i < 5; ++i) {
            receive_message(i);
        }
    }
    void receive_message(int vm) { subject.on_message(message_from(info_of(vm, 10 + vm)), now); }
    gossip_target target(int vm, std::uint64_t run) const {
        return {info_of(vm, run).vm, incarnation{run}, info_of(vm, run).rpc_address};
    }
    peer_state state(std::uint64_t run) const { return *subject.state(incarnation{run}, now); }
};

} // namespace

// Guards against excluding a node that is unreachable only from this node.
TEST_CASE_FIXTURE(peer_view_fixture,
                  "peer_view, one observer of silence among several, keeps the peer alive") {
    now = now + millis{2000};
    for (const int vm : {2, 3, 4}) {
        receive_message(vm);
    }
    subject.on_call_timeout(target(1, 11), now - millis{100});
    CHECK(state(11) == peer_state::alive);
    auto other = message_from(info_of(2, 12));
    // The failure is one-sided: vm-2 receives heartbeats of vm-1.
    other.peers = {with_heartbeat_age(info_of(1, 11), millis{100})};
    subject.on_message(other, now);
    CHECK(state(11) == peer_state::alive);
    CHECK(subject.recent_heartbeat_fraction(millis{500}, now) == doctest::Approx(1.0));
}

TEST_CASE_FIXTURE(
    peer_view_fixture,
    "peer_view, three observers of silence, counts the peer as silent until its next heartbeat") {
    now = now + millis{2000};
    for (const int vm : {2, 3, 4}) {
        receive_message(vm);
    }
    subject.on_call_timeout(target(1, 11), now - millis{100});
    for (const int vm : {2, 3}) {
        auto other = message_from(info_of(vm, 10 + vm));
        other.peers = {with_heartbeat_age(info_of(1, 11), millis{1900})};
        subject.on_message(other, now);
    }
    CHECK(state(11) == peer_state::silent);
    // Silence alone is not sufficient to replace a permit holder.
    CHECK_FALSE(subject.has_ended(incarnation{11}, now));
    now = now + millis{1};
    receive_message(1);
    CHECK(state(11) == peer_state::alive);
}

// Guards against taking over a holder's groups without proof that it ended, and against never taking them
// over.
TEST_CASE_FIXTURE(peer_view_fixture,
                  "peer_view, newer run on a vm, ends the older one, with proof by a response") {
    now = now + millis{10};
    subject.on_message(message_from(info_of(1, 21)), now);
    CHECK(state(11) == peer_state::gone);
    CHECK(state(21) == peer_state::alive);
    CHECK_FALSE(subject.has_ended(incarnation{11}, now));
    subject.on_response(message_from(info_of(1, 21)), "vm-1:81", now + millis{5}, now + millis{6});
    CHECK(subject.has_ended(incarnation{11}, now));
    CHECK_FALSE(subject.rpc_address(incarnation{11}).has_value());
    CHECK(subject.rpc_address(incarnation{21}) == "vm-1:81");
}

// Guards against a late message of an earlier run that permanently hides the current one.
TEST_CASE_FIXTURE(peer_view_fixture,
                  "peer_view, late message of an earlier run, is corrected by the next response") {
    subject.on_message(message_from(info_of(1, 5)), now);
    CHECK(state(11) == peer_state::gone);
    subject.on_response(message_from(info_of(1, 11)), "vm-1:81", now + millis{1}, now + millis{2});
    CHECK(state(11) == peer_state::alive);
    CHECK(state(5) == peer_state::gone);
    auto other = message_from(info_of(2, 12));
    other.peers = {with_heartbeat_age(info_of(1, 5), millis{0})};
    subject.on_message(other, now + millis{50});
    CHECK(state(11) == peer_state::alive);
}

TEST_CASE_FIXTURE(peer_view_fixture, "peer_view, refused connection, marks that run as gone") {
    subject.on_refused(target(1, 11), now);
    CHECK(state(11) == peer_state::gone);
    CHECK(subject.has_ended(incarnation{11}, now));
    // The entry makes other nodes count this node as an observer.
    const auto entries = subject.make_message(random, now).peers;
    const auto entry = std::ranges::find(entries, incarnation{11}, &peer_info::run);
    REQUIRE(entry != entries.end());
    CHECK(entry->heartbeat_age == millis{1500});
    subject.on_message(message_from(info_of(1, 11)), now + millis{5}); // Sent before the run ended.
    CHECK(state(11) == peer_state::gone);
    subject.on_message(message_from(info_of(1, 31)), now + millis{500}); // A new run on the same vm.
    CHECK(state(31) == peer_state::alive);
}

TEST_CASE_FIXTURE(peer_view_fixture, "peer_view, vm left the list, is gone only once it is silent") {
    auto list = make_vm_list(5);
    list.erase(list.begin() + 1);
    subject.apply_vm_list(list, now);
    CHECK(state(11) == peer_state::alive);
    now = now + millis{1600};
    CHECK(state(11) == peer_state::gone);
    CHECK(subject.has_ended(incarnation{11}, now));
}

// Guards against taking a message that waited in a socket buffer as proof that the log was read recently.
TEST_CASE_FIXTURE(peer_view_fixture,
                  "peer_view, freshness age, counts only in a response and from the start of the call") {
    auto other = message_from(info_of(2, 12));
    other.freshness_age = millis{100};
    other.applied_offset = 7;
    subject.on_message(other, now);
    CHECK_FALSE(subject.log_end_confirmed_at(100).has_value());
    subject.on_response(other, "vm-2:81", now, now + millis{5000});
    CHECK(subject.log_end_confirmed_at(7) == now - millis{100});
    CHECK_FALSE(subject.log_end_confirmed_at(6).has_value());
}

// Guards against a permit holder that continues to issue permits during an outage although it was replaced
// before.
TEST_CASE_FIXTURE(
    peer_view_fixture,
    "peer_view, log down, confirms the outage only if no responder has applied a later record") {
    for (const int vm : {1, 2}) {
        auto other = message_from(info_of(vm, 10 + vm));
        other.applied_offset = 7;
        subject.on_response(other, "", now + millis{vm}, now + millis{10});
    }
    now = now + millis{10};
    CHECK(subject.outage_confirmed_at(7, millis{2500}, now) == start + millis{1});
    CHECK_FALSE(subject.outage_confirmed_at(6, millis{2500}, now).has_value());
    CHECK_FALSE(subject.outage_confirmed_at(7, millis{2500}, now + millis{3000}).has_value());
    auto fresh = message_from(info_of(3, 13));
    fresh.freshness_age = millis{0};
    subject.on_response(fresh, "", now, now);
    CHECK_FALSE(subject.outage_confirmed_at(7, millis{2500}, now).has_value());
}

TEST_CASE_FIXTURE(peer_view_fixture, "peer_view, many nodes, does not increase the message size") {
    const auto entry_count = [&](int nodes) {
        peer_view view{{.self = info_of(0, 1)}};
        view.apply_vm_list(make_vm_list(nodes), now);
        for (int i = 1; i < nodes; ++i) {
            view.on_message(message_from(info_of(i, 10 + i)), now);
        }
        return view.make_message(random, now).peers.size();
    };
    CHECK(entry_count(100) == 4);
    CHECK(entry_count(1000) == 4);
    CHECK(entry_count(3) == 2);
}

TEST_CASE_FIXTURE(peer_view_fixture,
                  "peer_view, targets of a round, are distinct and cover all peers over time") {
    std::set<std::string> seen;
    for (int i = 0; i < 50; ++i) {
        std::set<std::string> round;
        for (const auto& it : subject.choose_targets(random, now)) {
            round.insert(it.vm);
        }
        CHECK(round.size() == 3);
        seen.insert(round.begin(), round.end());
    }
    CHECK(seen.size() == 4);
}

// Guards against directing callers to a node before it serves, and against a ready node that an old message
// marks as starting.
TEST_CASE_FIXTURE(peer_view_fixture, "peer_view, starting run, becomes ready by any report and stays ready") {
    const auto is_starting = [&](int vm) {
        const auto all = subject.members(now);
        return std::ranges::any_of(
            all, [&](const peer_member& it) { return it.info.vm == info_of(vm, 1).vm && it.info.starting; });
    };
    auto starting = info_of(1, 21);
    starting.starting = true;
    now = now + millis{1};
    subject.on_message(message_from(starting), now);
    CHECK(is_starting(1));
    auto other = message_from(info_of(2, 12));
    // A short entry from another node.
    other.peers = {with_heartbeat_age({.run = incarnation{21}}, millis{1})};
    now = now + millis{10};
    subject.on_message(other, now);
    CHECK_FALSE(is_starting(1));
    subject.on_message(message_from(starting), now); // A delayed message.
    CHECK_FALSE(is_starting(1));
}

TEST_CASE("peer_view, start of this node, is reported until the node is ready") {
    auto self = info_of(0, 1);
    self.starting = true;
    peer_view subject{{.self = self}};
    seeded_random random{1};
    CHECK(subject.make_message(random, start).sender.starting);
    CHECK(subject.members(start)[0].info.starting);
    subject.become_ready();
    CHECK_FALSE(subject.make_message(random, start).sender.starting);
    CHECK_FALSE(subject.members(start)[0].info.starting);
}

TEST_CASE_FIXTURE(peer_view_fixture, "peer_view, leaving run, stays leaving after an older report") {
    auto leaving = info_of(1, 11);
    leaving.leaving = true;
    subject.on_message(message_from(leaving), now);
    auto other = message_from(info_of(2, 12));
    other.peers = {with_heartbeat_age(info_of(1, 11), millis{900})};
    subject.on_message(other, now + millis{1});
    CHECK(state(11) == peer_state::leaving);
}

} // namespace berylcrank
