#include "modules/berylcrank_gateway/state/state_follower.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

namespace berylcrank {

namespace {

// A store that responds to reads when the test says so.
class scripted_store final : public metadata_store {
public:
    struct pending_read {
        record_source source;
        bool is_snapshot;
        std::uint64_t from;
        read_handler done;
    };
    std::vector<pending_read> reads;

    void read_all(record_source source, read_handler done) override {
        reads.push_back({source, true, 0, std::move(done)});
    }
    void read_from(record_source source, std::uint64_t from, millis /*wait*/, read_handler done) override {
        reads.push_back({source, false, from, std::move(done)});
    }
    void announce(const node_info& /*self*/, done_handler done) override { done(store_outcome::ok); }
    void list_nodes(nodes_handler done) override { done(store_outcome::ok, {}, 0); }
    [[nodiscard]] std::uint64_t calls() const override { return reads.size(); }

    // Removes and returns the pending read of a source.
    pending_read take(record_source source) {
        const auto it =
            std::find_if(reads.begin(), reads.end(), [&](const auto& read) { return read.source == source; });
        REQUIRE(it != reads.end());
        auto result = std::move(*it);
        reads.erase(it);
        return result;
    }
};

struct applied_record {
    std::string key;
    std::string value;
    bool after_outage;
};

store_read_result result(std::uint64_t epoch, std::vector<state_record> records, std::uint64_t end) {
    return {.outcome = store_outcome::ok, .records = std::move(records), .end = end, .epoch = epoch};
}

constexpr auto upstreams = record_source::upstreams;
constexpr auto operators = record_source::operators;

struct store_epoch_fixture {
    manual_clock time;
    scripted_store store;
    event_log log{open("/dev/null", O_WRONLY), "test", time};
    std::vector<applied_record> applied;
    state_follower subject = make(1);

    state_follower make(std::uint64_t number) {
        time.advance(millis{1000});
        return {store,
                time,
                log,
                follower_options{},
                number,
                1000,
                [this](record_source, const state_record& it, bool after_outage) {
                    applied.push_back({it.key, it.value, after_outage});
                    return record_effect::changed;
                },
                [](record_source source, const state_record& known, const state_record& restored) {
                    return source == operators && restored.value < known.value;
                }};
    }

    // Lets the reads that are due start. Two ticks are shorter than an outage.
    void tick() {
        time.advance(millis{500});
        subject.tick(0, time.now());
    }

    // Answers the pending read of a source.
    void answer(record_source source, const store_read_result& it) { store.take(source).done(it); }

    // Completes both copies in epoch 1 with the key "a" and ends at offset 900.
    void complete() {
        tick();
        answer(operators, result(1, {{.key = "config", .offset = 890, .value = "5"}}, 900));
        answer(upstreams, result(1, {{.key = "a", .offset = 880, .value = "1"}}, 900));
        REQUIRE(subject.complete());
        applied.clear();
        tick();
    }

    // Lets a read fail with a status 410 of the given epoch.
    void expire(record_source source, std::uint64_t epoch) {
        answer(source, {.outcome = store_outcome::expired, .epoch = epoch});
    }

    [[nodiscard]] std::uint64_t end() const { return subject.ends()[1].offset; }
    [[nodiscard]] std::uint64_t copy_epoch() const { return subject.ends()[1].epoch; }
};

} // namespace

// Guards against a node that ignores the records to which a restored store assigns offsets again.
TEST_CASE_FIXTURE(store_epoch_fixture,
                  "state_follower, store is restored, reads a snapshot and applies lower offsets") {
    complete();
    expire(upstreams, 2);
    CHECK(subject.epoch() == 2);
    CHECK(subject.complete()); // serves from the old copy
    CHECK(subject.watermarks(time.now())[1].end == 900);
    tick();
    auto read = store.take(upstreams);
    CHECK(read.is_snapshot);
    read.done(result(2, {{.key = "a", .offset = 700, .value = "2"}}, 701));
    REQUIRE(applied.size() == 1);
    CHECK(applied[0].value == "2");
    CHECK(end() == 701);
    tick();
    read = store.take(upstreams);
    CHECK(read.from == 701);
    read.done(result(2, {{.key = "b", .offset = 701, .value = "1"}}, 702));
    CHECK(applied.back().key == "b");
}

// Guards against offsets of an old epoch that a restored store already has again, which would leave a gap.
TEST_CASE_FIXTURE(
    store_epoch_fixture,
    "state_follower, read from an old offset succeeds in a new epoch, reads a snapshot instead") {
    complete();
    answer(upstreams, result(2, {{.key = "late", .offset = 900, .value = "1"}}, 901));
    CHECK(applied.empty());
    tick();
    CHECK(store.take(upstreams).is_snapshot);
}

// Guards against removing upstreams that registered after the backup and will register again.
TEST_CASE_FIXTURE(store_epoch_fixture,
                  "state_follower, key missing in the restored store, is removed as after an outage") {
    complete();
    expire(upstreams, 2);
    tick();
    answer(upstreams, result(2, {}, 5));
    REQUIRE(applied.size() == 1);
    CHECK(applied[0].key == "a");
    CHECK(applied[0].after_outage);
}

// Guards against a node that returns to what the backup holds before the operator has written again.
TEST_CASE_FIXTURE(store_epoch_fixture,
                  "state_follower, record that is kept, stays for other nodes until it is written again") {
    complete();
    expire(operators, 2);
    tick();
    answer(operators, result(2, {{.key = "config", .offset = 3, .value = "4"}}, 4));
    CHECK(applied.empty());
    CHECK(subject.state_since({}, time.now())[0].records[0].value == "5");
    tick();
    answer(operators, result(2, {{.key = "config", .offset = 4, .value = "6"}}, 5));
    REQUIRE(applied.size() == 1);
    CHECK(applied[0].value == "6");
}

// Guards against a node that missed a restore and takes what was written after it for a part of the backup.
TEST_CASE_FIXTURE(
    store_epoch_fixture,
    "state_follower, copy of another node, records written after the restore are not kept back") {
    complete();
    auto isolated = make(2);
    isolated.merge(subject.state_since({}, time.now()), time.now());
    for (const auto source : {operators, upstreams}) {
        expire(source, 2);
    }
    tick();
    answer(operators, result(2, {{.key = "config", .offset = 3, .value = "4"}}, 4));
    answer(upstreams, result(2, {}, 4));
    CHECK(subject.state_since({}, time.now())[0].records[0].value == "5"); // kept
    tick();
    answer(operators, result(2, {{.key = "config", .offset = 4, .value = "3"}}, 5));
    applied.clear();
    isolated.merge(subject.state_since(isolated.ends(), time.now()), time.now());
    REQUIRE_FALSE(applied.empty());
    CHECK(applied[0].value == "3");
}

// Guards against a late response that brings records of the old epoch back.
TEST_CASE_FIXTURE(store_epoch_fixture, "state_follower, late response of the old epoch, is dropped") {
    complete();
    expire(operators, 2);
    answer(upstreams, result(1, {{.key = "late", .offset = 900, .value = "1"}}, 901));
    CHECK(applied.empty());
    CHECK(subject.late_results() == 1);
    CHECK(subject.invalid_epochs() == 0);
    CHECK(copy_epoch() == 1);
    tick();
    CHECK(store.take(upstreams).is_snapshot);
}

// Guards against a store whose epoch decreases, which must not take a node back or stop it.
TEST_CASE_FIXTURE(store_epoch_fixture, "state_follower, epoch decreases, counts as the highest epoch") {
    complete();
    answer(upstreams, result(0, {{.key = "b", .offset = 900, .value = "1"}}, 901));
    CHECK(subject.epoch() == 1);
    CHECK(subject.invalid_epochs() == 1);
    REQUIRE(applied.size() == 1);
    CHECK(end() == 901);
    CHECK(copy_epoch() == 1);
}

// Guards against a node that stops following a store because it cannot parse the epoch.
TEST_CASE_FIXTURE(store_epoch_fixture, "state_follower, malformed epoch, counts as the highest epoch") {
    complete();
    auto malformed = result(0, {{.key = "b", .offset = 900, .value = "1"}}, 901);
    malformed.epoch.reset();
    malformed.malformed_epoch = true;
    answer(upstreams, malformed);
    CHECK(subject.invalid_epochs() == 1);
    CHECK(end() == 901);
    CHECK(copy_epoch() == 1);
}

// Guards against taking a trimmed history for a restored store.
TEST_CASE_FIXTURE(store_epoch_fixture,
                  "state_follower, records expired in the same epoch, merges a snapshot as before") {
    complete();
    expire(upstreams, 1);
    CHECK(subject.epoch() == 1);
    tick();
    CHECK_FALSE(store.take(operators).is_snapshot);
    auto read = store.take(upstreams);
    CHECK(read.is_snapshot);
    read.done(result(1, {{.key = "a", .offset = 950, .value = "2"}}, 960));
    CHECK(end() == 960);
}

// Guards against a node that merges the snapshot of one restore after the store was restored once more.
TEST_CASE_FIXTURE(store_epoch_fixture,
                  "state_follower, two restores in a row, ends with the snapshot of the second") {
    complete();
    expire(upstreams, 2);
    tick();
    expire(operators, 3);
    answer(upstreams, result(2, {{.key = "a", .offset = 3, .value = "2"}}, 4));
    CHECK(applied.empty());
    CHECK(subject.late_results() == 1);
    tick();
    answer(upstreams, result(3, {{.key = "a", .offset = 2, .value = "3"}}, 3));
    CHECK(applied.back().value == "3");
    CHECK(copy_epoch() == 3);
    CHECK(end() == 3);
}

// Guards against an isolated node that takes itself for current, and against one that takes others back.
TEST_CASE_FIXTURE(store_epoch_fixture,
                  "state_follower, node that has not seen a restore, is behind whatever the offsets") {
    complete();
    auto isolated = make(2);
    state_response old_copy = subject.state_since({}, time.now());
    isolated.merge(old_copy, time.now());
    for (const auto source : {operators, upstreams}) {
        expire(source, 2);
    }
    tick();
    answer(operators, result(2, {{.key = "config", .offset = 3, .value = "4"}}, 4));
    answer(upstreams, result(2, {{.key = "a", .offset = 3, .value = "2"}}, 4));
    CHECK(isolated.on_watermarks(subject.watermarks(time.now()), time.now()));
    CHECK_FALSE(subject.on_watermarks(isolated.watermarks(time.now()), time.now()));
    applied.clear();
    isolated.merge(subject.state_since(isolated.ends(), time.now()), time.now());
    CHECK(isolated.epoch() == 2);
    CHECK(isolated.ends() == subject.ends());
    REQUIRE(applied.size() == 1);
    CHECK(applied[0].value == "2");
    subject.merge(old_copy, time.now());
    CHECK(applied.size() == 1);
}

// Guards against a start with a store that has been restored before, which is no change of the epoch.
TEST_CASE_FIXTURE(store_epoch_fixture, "state_follower, new node, takes the records and epoch of the store") {
    tick();
    answer(operators, result(7, {{.key = "config", .offset = 3, .value = "4"}}, 4));
    answer(upstreams, result(7, {}, 0));
    CHECK(subject.complete());
    CHECK(subject.epoch() == 7);
    CHECK_FALSE(applied[0].after_outage);
}

} // namespace berylcrank
