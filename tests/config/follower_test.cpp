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

/** A log in memory whose faults a test causes. */
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
        if (lost_answers > 0) {
            --lost_answers;
            return boost::leaf::new_error(log_error{log_error::kind::silent, "lost"});
        }
        return records.size() - 1;
    }

    boost::leaf::result<log_page> read(std::uint64_t from, std::uint32_t max, millis wait) override {
        {
            const lock_guard guard(mutex_);
            if (failure) {
                return boost::leaf::new_error(*failure);
            }
            if (max > readable_records) {
                return boost::leaf::new_error(log_error{log_error::kind::malformed, "answer is too large"});
            }
            if (from < records.size() || wait == millis{0}) {
                return page(from, max);
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1)); // Stands for the long poll.
        const lock_guard guard(mutex_);
        return page(from, max);
    }

    void publish(const ticket& it) {
        const lock_guard guard(mutex_);
        records.push_back(encode_ticket_record(it));
    }

    void set(const std::function<void(memory_log&)>& change) {
        const lock_guard guard(mutex_);
        change(*this);
    }

    std::vector<std::string> records;
    std::uint64_t first{0};
    int lost_answers{0};
    std::uint32_t readable_records{1000}; ///< A read of more gives an unreadable answer.
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

/** Answers pulls from another node's follower, if there is one. */
class follower_peers final : public state_peers {
public:
    std::optional<std::string> pull_delta(std::uint64_t from, millis) override {
        const auto* it = peer.load();
        return it == nullptr ? std::nullopt : std::optional(it->delta_since(from));
    }

    std::atomic<const config_follower*> peer{nullptr};
};

/** A node on a log; waits are short. */
struct node {
    memory_log& log;
    follower_peers peers;
    steady_clock time;
    config_follower subject;

    explicit node(memory_log& it, std::uint64_t seed = 1, millis retention = millis{3600000},
                  millis gap_wait = millis{3600000})
        : log(it), subject({.poll = millis{5},
                            .retention = retention,
                            .gap_wait = gap_wait,
                            .retry = millis{2},
                            .page_records = 3,
                            .seed = seed},
                           it, peers, time) {
        subject.start();
    }
};

/** Waits for an event; false after 20 s. */
bool until(const std::function<bool()>& happened) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!happened()) {
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

    static bool has(const node& it, const std::string& upstream) {
        return it.subject.view()->find_upstream(upstream) != nullptr;
    }
};

} // namespace

TEST_CASE_FIXTURE(follower_fixture, "config_follower, log from its start, becomes ready with all tickets") {
    node it(log);
    REQUIRE(until([&] { return it.subject.is_ready() && has(it, "u11"); }));
    log.publish(upstream_ticket(20, "late"));
    CHECK(until([&] { return has(it, "late"); }));
    CHECK(it.subject.read_back(3).outcomes.size() == 3);
    CHECK(it.subject.outcomes_of(20).at(0).accepted);
}

// Guards against a node that asks for the same unreadable answer for ever.
TEST_CASE_FIXTURE(follower_fixture, "config_follower, answers too large to read, asks for fewer records") {
    log.readable_records = 1;
    node it(log);
    CHECK(until([&] { return it.subject.is_ready() && has(it, "u11"); }));
}

// Guards against a new node that serves without a configuration, or with half of one.
TEST_CASE_FIXTURE(follower_fixture, "config_follower, trimmed log without snapshot or peer, is not ready") {
    log.first = 6;
    node it(log);
    REQUIRE(
        until([&] { return it.subject.evidence().uncovered && it.subject.evidence().answered.has_value(); }));
    log.publish(upstream_ticket(20, "late"));
    REQUIRE(until([&] { return it.subject.evidence().next_offset == 12; }));
    CHECK_FALSE(it.subject.is_ready());
    CHECK(it.subject.view()->upstream_count() == 0);
    CHECK_FALSE(it.subject.evidence().end_read.has_value());
    // A peer that still has the records makes it ready.
    memory_log whole;
    whole.records = log.records;
    node peer(whole, 2);
    REQUIRE(until([&] { return has(peer, "late"); }));
    it.peers.peer.store(&peer.subject);
    CHECK(until([&] { return it.subject.is_ready() && has(it, "u2") && has(it, "late"); }));
    CHECK(it.subject.view()->digest() == peer.subject.view()->digest());
}

// Guards against a new node that finds no snapshot although one was written in time.
TEST_CASE_FIXTURE(follower_fixture, "config_follower, snapshots, let a new node start from a trimmed log") {
    node writer(log, 1, millis{200});
    REQUIRE(until([&] { return writer.subject.snapshots_written() > 0; }));
    log.set([](auto& it) { it.first = 11; });
    node reader(log, 2);
    REQUIRE(until([&] { return reader.subject.is_ready() && has(reader, "u11"); }));
    CHECK(has(reader, "u2"));
    CHECK_FALSE(reader.subject.read_back(1).has_gap);
}

// Guards against all nodes writing snapshots at once.
TEST_CASE_FIXTURE(follower_fixture, "snapshot_schedule, newer snapshot turns up, drops the plan") {
    seeded_random random(7);
    snapshot_schedule subject({.retention = millis{80000}}, random);
    snapshot_inputs it{.next_offset = 10, .applied = 10};
    CHECK_FALSE(subject.is_due(it));
    it.now = instant{millis{40001}};
    CHECK_FALSE(subject.is_due(it)); // Planned within the next 10 s.
    it.newest = {.applied = 10, .first_offset = 10, .last_offset = 11};
    it.now = instant{millis{60000}};
    CHECK_FALSE(subject.is_due(it));
    it.now = instant{millis{99000}};
    CHECK_FALSE(subject.is_due(it));
    it.now = instant{millis{100001}};
    CHECK_FALSE(subject.is_due(it));
    it.now = instant{millis{110002}};
    CHECK(subject.is_due(it));
    CHECK_FALSE(subject.is_due(it));
    // A log that trims by count: the snapshot is close to the oldest record.
    it.newest = {.applied = 500, .first_offset = 500, .last_offset = 501};
    it.first_offset = 450;
    it.next_offset = 900;
    CHECK_FALSE(subject.is_due(it));
    it.now = it.now + millis{2001};
    CHECK(subject.is_due(it));
}

// Guards against a node that stops for good, or hides the loss, when records are gone for everyone.
TEST_CASE_FIXTURE(follower_fixture,
                  "config_follower, records lost to all, continues after gap_wait and counts it") {
    node it(log, 1, millis{3600000}, millis{50});
    REQUIRE(until([&] { return has(it, "u11"); }));
    log.set([](auto& broken) { broken.failure = log_error{log_error::kind::refused, "down"}; });
    REQUIRE(until([&] { return it.subject.evidence().refused.has_value(); }));
    log.publish(upstream_ticket(20, "lost"));
    log.publish(upstream_ticket(21, "kept"));
    log.set([](auto& broken) {
        broken.failure.reset();
        broken.first = 12;
    });
    REQUIRE(until([&] { return has(it, "kept"); }));
    CHECK_FALSE(has(it, "lost"));
    CHECK(has(it, "u2"));
    const auto state = it.subject.read_back(1);
    CHECK(state.counters.gaps == 1);
    CHECK(state.counters.gap_offsets == 1);
    CHECK(state.has_gap);
}

// Guards against a node cut off from the log that keeps an old configuration although its peers have a newer
// one.
TEST_CASE_FIXTURE(follower_fixture, "config_follower, log silent for one node, takes state from a peer") {
    node good(log, 1);
    memory_log other;
    other.records = log.records;
    node cut(other, 2);
    REQUIRE(until([&] { return has(good, "u11") && has(cut, "u11"); }));
    other.set([](auto& it) { it.failure = log_error{log_error::kind::silent, "no answer"}; });
    cut.peers.peer.store(&good.subject);
    log.publish(upstream_ticket(20, "late"));
    REQUIRE(until([&] { return has(good, "late"); }));
    const auto view = good.subject.view();
    CHECK(until([&] {
        cut.subject.on_peer_state(view->applied(), view->digest());
        return has(cut, "late");
    }));
    CHECK(cut.subject.view()->digest() == view->digest());
}

// Guards against an assignment that is lost with its answer, or that is appended for ever.
TEST_CASE_FIXTURE(follower_fixture,
                  "config_follower, racing assignments with lost answers, settle on one holder") {
    log.lost_answers = 2;
    node a(log, 1);
    node b(log, 2);
    REQUIRE(until([&] { return a.subject.is_ready() && b.subject.is_ready(); }));
    std::vector<holder_assignment> for_a;
    std::vector<holder_assignment> for_b;
    for (std::uint32_t group = 0; group < group_count; ++group) {
        for_a.push_back({.group = group, .holder = incarnation{1}});
        for_b.push_back({.group = group, .holder = incarnation{2}});
    }
    a.subject.propose(for_a);
    b.subject.propose(for_b);
    const auto is_settled = [&](const node& it) {
        return it.subject.view()->holder_of(63).holder.is_set() &&
               it.subject.view()->holder_of(0).holder.is_set();
    };
    REQUIRE(until([&] { return is_settled(a) && is_settled(b); }));
    const auto applied = std::max(a.subject.view()->applied(), b.subject.view()->applied());
    REQUIRE(until(
        [&] { return a.subject.view()->applied() >= applied && b.subject.view()->applied() >= applied; }));
    for (std::size_t group = 0; group < group_count; ++group) {
        CHECK(a.subject.view()->holder_of(group) == b.subject.view()->holder_of(group));
    }
}

// Guards against a stop that waits for a long poll, and against a view that waits for the log.
TEST_CASE_FIXTURE(follower_fixture, "config_follower, stop, ends promptly and twice is harmless") {
    node it(log);
    REQUIRE(until([&] { return it.subject.is_ready(); }));
    it.subject.stop();
    it.subject.stop();
    CHECK(has(it, "u11"));
}

// Guards against service that stops for one dead vm, and against a cut-off node that goes on with stale
// state.
TEST_CASE("decide_freshness, section 4 of the design, case by case") {
    const instant now{millis{10000}};
    const auto ago = [&](std::int64_t ms) { return std::optional(now - millis{ms}); };
    freshness_inputs it{.now = now, .other_members = 10, .reachable_members = 10};
    it.log_end_read = ago(2500);
    CHECK(decide_freshness(it) == freshness_decision{freshness::fresh, false});
    it.log_end_read = ago(2501);
    it.peer_log_end_confirmed = ago(100);
    CHECK(decide_freshness(it).state == freshness::fresh);
    it.peer_log_end_confirmed = ago(2501);
    CHECK(decide_freshness(it) == freshness_decision{freshness::log_down, false});
    it.reachable_members = 5;
    CHECK_FALSE(decide_freshness(it).stops_new_work);
    it.reachable_members = 4;
    CHECK(decide_freshness(it) == freshness_decision{freshness::isolated, true});
    it.log_refused = ago(100);
    CHECK(decide_freshness(it) == freshness_decision{freshness::log_down, false});
    it.log_refused = ago(2501);
    it.log_responded = ago(10);
    it.was_stopped = true;
    CHECK(decide_freshness(it) == freshness_decision{freshness::catching_up, true});
    it.was_stopped = false;
    CHECK_FALSE(decide_freshness(it).stops_new_work);
    CHECK_FALSE(decide_freshness({.now = now}).stops_new_work); // The only node of a system.
}

} // namespace berylcrank
