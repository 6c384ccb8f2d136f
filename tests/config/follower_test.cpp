#include "modules/berylcrank_config/state/state_codec.h"
#include "modules/berylcrank_node/control/config_follower.h"
#include "tests/config/state_fixture.h"

#include <boost/leaf/error.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <thread>

namespace berylcrank {

using namespace testing;

namespace {

/** An in-memory log with fault injection. */
class memory_log final : public log_service {
public:
    boost::leaf::result<std::uint64_t> append(std::string_view data) override {
        const lock_guard guard(mutex_);
        if (failure) {
            return boost::leaf::new_error(*failure);
        }
        if (data.size() > snapshot_part_bytes) {
            return boost::leaf::new_error(log_error{log_error::kind::too_large, "too large"});
        }
        records.emplace_back(data);
        if (lost_responses > 0) {
            --lost_responses;
            return boost::leaf::new_error(log_error{log_error::kind::no_response, "lost"});
        }
        return records.size() - 1;
    }

    boost::leaf::result<log_page> read(std::uint64_t from, std::uint32_t max, millis wait) override {
        {
            const lock_guard guard(mutex_);
            if (failure) {
                return boost::leaf::new_error(*failure);
            }
            if (max > max_readable_records) {
                return boost::leaf::new_error(log_error{log_error::kind::malformed, "response is too large"});
            }
            if (from < records.size() || wait == millis{0}) {
                return page(from, max);
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1)); // Simulates the long poll.
        const lock_guard guard(mutex_);
        return page(from, max);
    }

    void publish(const ticket& change) {
        const lock_guard guard(mutex_);
        records.push_back(encode_ticket_record(change));
    }

    void set(const std::function<void(memory_log&)>& change) {
        const lock_guard guard(mutex_);
        change(*this);
    }

    std::vector<std::string> records;
    std::uint64_t first{0};
    int lost_responses{0};
    std::uint32_t max_readable_records{1000}; ///< A read of more records gives an unreadable response.
    std::optional<log_error> failure;

private:
    log_page page(std::uint64_t from, std::uint32_t max) const {
        log_page out{.first_offset = first, .next_offset = records.size()};
        for (auto at = std::max(from, first); at < records.size() && out.records.size() < max; ++at) {
            out.records.push_back({at, records[at]});
        }
        return out;
    }

    mutex mutex_;
};

/** Serves pulls from the follower of another node, if one is set. */
class follower_peers final : public peer_state_source {
public:
    std::optional<std::string> pull_delta(std::uint64_t from, millis) override {
        const auto* source = peer.load();
        return source == nullptr ? std::nullopt : std::optional(source->delta_since(from));
    }

    std::atomic<const config_follower*> peer{nullptr};
};

/** The configuration follower of one node on an in-memory log, with short waits. */
struct follower_node {
    memory_log& log;
    follower_peers peers;
    steady_clock time;
    config_follower subject;

    explicit follower_node(memory_log& service, std::uint64_t seed = 1, millis retention = millis{3600000},
                           millis gap_wait = millis{3600000})
        : log(service), subject({.poll = millis{5},
                                 .retention = retention,
                                 .gap_wait = gap_wait,
                                 .retry = millis{2},
                                 .page_records = 3,
                                 .seed = seed},
                                service, peers, time) {
        subject.start();
    }
};

/** Waits up to 20 s for a condition; returns false on a timeout. */
bool wait_until(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

struct follower_fixture {
    memory_log log;

    follower_fixture() {
        log.publish(base_ticket(1));
        for (std::uint64_t n = 2; n < 12; ++n) {
            log.publish(upstream_ticket(n, "u" + std::to_string(n)));
        }
    }

    static bool has(const follower_node& follower, const std::string& upstream) {
        return follower.subject.view()->find_upstream(upstream) != nullptr;
    }
};

} // namespace

TEST_CASE_FIXTURE(follower_fixture, "config_follower, complete log, becomes ready with all tickets") {
    follower_node follower(log);
    REQUIRE(wait_until([&] { return follower.subject.is_ready() && has(follower, "u11"); }));
    log.publish(upstream_ticket(20, "late"));
    CHECK(wait_until([&] { return has(follower, "late"); }));
    CHECK(follower.subject.summary(3).outcomes.size() == 3);
    CHECK(follower.subject.outcomes_of(20).at(0).accepted);
}

// Guards against a node that repeats a read forever although its response is too large to parse.
TEST_CASE_FIXTURE(follower_fixture, "config_follower, response too large to parse, requests fewer records") {
    log.max_readable_records = 1;
    follower_node follower(log);
    CHECK(wait_until([&] { return follower.subject.is_ready() && has(follower, "u11"); }));
}

// Guards against a new node that serves requests with an empty or incomplete configuration.
TEST_CASE_FIXTURE(follower_fixture, "config_follower, trimmed log without snapshot or peer, is not ready") {
    log.first = 6;
    follower_node follower(log);
    REQUIRE(wait_until([&] {
        return follower.subject.log_status().has_unread_gap &&
               follower.subject.log_status().last_response.has_value();
    }));
    log.publish(upstream_ticket(20, "late"));
    REQUIRE(wait_until([&] { return follower.subject.log_status().next_offset == 12; }));
    CHECK_FALSE(follower.subject.is_ready());
    CHECK(follower.subject.view()->upstream_count() == 0);
    CHECK_FALSE(follower.subject.log_status().last_end_read.has_value());
    // A peer that still has the trimmed records makes the node ready.
    memory_log complete;
    complete.records = log.records;
    follower_node peer(complete, 2);
    REQUIRE(wait_until([&] { return has(peer, "late"); }));
    follower.peers.peer.store(&peer.subject);
    CHECK(wait_until(
        [&] { return follower.subject.is_ready() && has(follower, "u2") && has(follower, "late"); }));
    CHECK(follower.subject.view()->digest() == peer.subject.view()->digest());
}

// Guards against a new node that fails to start from a trimmed log although a snapshot was written in time.
TEST_CASE_FIXTURE(follower_fixture, "config_follower, trimmed log with a snapshot, lets a new node start") {
    follower_node writer(log, 1, millis{200});
    REQUIRE(wait_until([&] { return writer.subject.snapshots_written() > 0; }));
    log.set([](auto& trimmed) { trimmed.first = 11; });
    follower_node reader(log, 2);
    REQUIRE(wait_until([&] { return reader.subject.is_ready() && has(reader, "u11"); }));
    CHECK(has(reader, "u2"));
    CHECK_FALSE(reader.subject.summary(1).has_gap);
}

// Guards against all nodes writing a snapshot at the same time.
TEST_CASE_FIXTURE(follower_fixture, "snapshot_schedule, newer snapshot on the log, cancels the planned one") {
    seeded_random random(7);
    snapshot_schedule subject({.retention = millis{80000}}, random);
    snapshot_inputs inputs{.next_offset = 10, .applied = 10};
    CHECK_FALSE(subject.is_due(inputs));
    inputs.now = instant{millis{40001}};
    CHECK_FALSE(subject.is_due(inputs)); // Scheduled within the next 10 s.
    inputs.newest = {.applied = 10, .first_offset = 10, .last_offset = 11};
    inputs.now = instant{millis{60000}};
    CHECK_FALSE(subject.is_due(inputs));
    inputs.now = instant{millis{99000}};
    CHECK_FALSE(subject.is_due(inputs));
    inputs.now = instant{millis{100001}};
    CHECK_FALSE(subject.is_due(inputs));
    inputs.now = instant{millis{110002}};
    CHECK(subject.is_due(inputs));
    CHECK_FALSE(subject.is_due(inputs));
    // A log that trims by record count: the snapshot is close to the oldest record.
    inputs.newest = {.applied = 500, .first_offset = 500, .last_offset = 501};
    inputs.first_offset = 450;
    inputs.next_offset = 900;
    CHECK_FALSE(subject.is_due(inputs));
    inputs.now = inputs.now + millis{2001};
    CHECK(subject.is_due(inputs));
}

// Guards against a node that stalls or hides the loss when records were trimmed before any node read them.
TEST_CASE_FIXTURE(follower_fixture,
                  "config_follower, records lost on all nodes, continues after gap_wait and counts the gap") {
    follower_node follower(log, 1, millis{3600000}, millis{50});
    REQUIRE(wait_until([&] { return has(follower, "u11"); }));
    log.set([](auto& broken) { broken.failure = log_error{log_error::kind::refused, "down"}; });
    REQUIRE(wait_until([&] { return follower.subject.log_status().last_refusal.has_value(); }));
    log.publish(upstream_ticket(20, "lost"));
    log.publish(upstream_ticket(21, "kept"));
    log.set([](auto& broken) {
        broken.failure.reset();
        broken.first = 12;
    });
    REQUIRE(wait_until([&] { return has(follower, "kept"); }));
    CHECK_FALSE(has(follower, "lost"));
    CHECK(has(follower, "u2"));
    const auto state = follower.subject.summary(1);
    CHECK(state.counters.gaps == 1);
    CHECK(state.counters.gap_offsets == 1);
    CHECK(state.has_gap);
}

// Guards against a node without access to the log that keeps an old configuration although its peers have a
// newer one.
TEST_CASE_FIXTURE(follower_fixture,
                  "config_follower, log unresponsive for one node, pulls the state from a peer") {
    follower_node connected(log, 1);
    memory_log other;
    other.records = log.records;
    follower_node isolated(other, 2);
    REQUIRE(wait_until([&] { return has(connected, "u11") && has(isolated, "u11"); }));
    other.set([](auto& broken) { broken.failure = log_error{log_error::kind::no_response, "no response"}; });
    isolated.peers.peer.store(&connected.subject);
    log.publish(upstream_ticket(20, "late"));
    REQUIRE(wait_until([&] { return has(connected, "late"); }));
    const auto view = connected.subject.view();
    CHECK(wait_until([&] {
        isolated.subject.on_peer_state(view->applied(), view->digest());
        return has(isolated, "late");
    }));
    CHECK(isolated.subject.view()->digest() == view->digest());
}

// Guards against an assignment that is lost with the response to its append, or that is appended forever.
TEST_CASE_FIXTURE(follower_fixture,
                  "config_follower, concurrent assignments with lost responses, converge on one holder") {
    log.lost_responses = 2;
    follower_node a(log, 1);
    follower_node b(log, 2);
    REQUIRE(wait_until([&] { return a.subject.is_ready() && b.subject.is_ready(); }));
    std::vector<holder_assignment> for_a;
    std::vector<holder_assignment> for_b;
    for (std::uint32_t group = 0; group < group_count; ++group) {
        for_a.push_back({.group = group, .holder = incarnation{1}});
        for_b.push_back({.group = group, .holder = incarnation{2}});
    }
    a.subject.propose(for_a);
    b.subject.propose(for_b);
    const auto is_settled = [&](const follower_node& follower) {
        return follower.subject.view()->holder_of(63).holder.is_set() &&
               follower.subject.view()->holder_of(0).holder.is_set();
    };
    REQUIRE(wait_until([&] { return is_settled(a) && is_settled(b); }));
    const auto applied = std::max(a.subject.view()->applied(), b.subject.view()->applied());
    REQUIRE(wait_until(
        [&] { return a.subject.view()->applied() >= applied && b.subject.view()->applied() >= applied; }));
    for (std::size_t group = 0; group < group_count; ++group) {
        CHECK(a.subject.view()->holder_of(group) == b.subject.view()->holder_of(group));
    }
}

// Guards against a stop that blocks on a long poll, and against a view that blocks on the log.
TEST_CASE_FIXTURE(follower_fixture, "config_follower, stop, returns promptly and can be called twice") {
    follower_node follower(log);
    REQUIRE(wait_until([&] { return follower.subject.is_ready(); }));
    follower.subject.stop();
    follower.subject.stop();
    CHECK(has(follower, "u11"));
}

// Guards against nodes that stop serving because one vm is down, and against an isolated node that continues
// with a stale configuration.
TEST_CASE("decide_freshness, all cases of section 4 of the design") {
    const instant now{millis{10000}};
    const auto ago = [&](std::int64_t ms) { return std::optional(now - millis{ms}); };
    freshness_inputs inputs{.now = now, .other_members = 10, .reachable_members = 10};
    inputs.log_end_read = ago(2500);
    CHECK(decide_freshness(inputs) == freshness_decision{freshness::fresh, false});
    inputs.log_end_read = ago(2501);
    inputs.peer_log_end_confirmed = ago(100);
    CHECK(decide_freshness(inputs).state == freshness::fresh);
    inputs.peer_log_end_confirmed = ago(2501);
    CHECK(decide_freshness(inputs) == freshness_decision{freshness::log_down, false});
    inputs.reachable_members = 5;
    CHECK_FALSE(decide_freshness(inputs).stops_new_work);
    inputs.reachable_members = 4;
    CHECK(decide_freshness(inputs) == freshness_decision{freshness::isolated, true});
    inputs.log_refused = ago(100);
    CHECK(decide_freshness(inputs) == freshness_decision{freshness::log_down, false});
    inputs.log_refused = ago(2501);
    inputs.log_responded = ago(10);
    inputs.was_stopped = true;
    CHECK(decide_freshness(inputs) == freshness_decision{freshness::catching_up, true});
    inputs.was_stopped = false;
    CHECK_FALSE(decide_freshness(inputs).stops_new_work);
    CHECK_FALSE(decide_freshness({.now = now}).stops_new_work); // A system with a single node.
}

} // namespace berylcrank
