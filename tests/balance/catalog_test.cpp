#include "modules/berylcrank_balance/catalog/record_table.h"
#include "modules/berylcrank_balance/catalog/upstream_directory.h"

#include <doctest/doctest.h>

namespace berylcrank {

namespace {

instant at(std::int64_t ms) {
    return instant{millis{ms}};
}

struct record_table_fixture {
    std::vector<state_record> seen;
    record_effect effect{record_effect::changed};
    record_table subject{[this](const state_record& it) {
        seen.push_back(it);
        return effect;
    }};
};

upstream_entry entry(const std::string& id, std::uint64_t start_time_ms, std::uint64_t sequence) {
    return {.id = id,
            .service = "s",
            .address = "10.0.0.1:80",
            .failure_domain = "north",
            .slots = 4,
            .sequence = sequence,
            .start_time_ms = start_time_ms};
}

struct directory_fixture {
    upstream_directory subject;
    static constexpr millis warm_up{3000};
};

} // namespace

// Records that two nodes forward must not be applied twice or out of order.
TEST_CASE_FIXTURE(record_table_fixture, "record_table, same records from two nodes, applies each once") {
    const std::vector<state_record> run{{.key = "a", .offset = 0, .value = "1"},
                                        {.key = "a", .offset = 1, .value = "2"}};
    subject.merge(run, 2, at(10));
    subject.merge(std::span(run).first(1), 1, at(20));
    CHECK(seen.size() == 2);
    CHECK(seen.back().value == "2");
    CHECK(subject.end() == 2);
}

// An upstream would stay registered if the store had dropped the record of its removal.
TEST_CASE_FIXTURE(record_table_fixture, "record_table, key missing in a snapshot, counts as removed") {
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 0, .value = "1"},
                                            {.key = "b", .offset = 1, .value = "1"}},
                  2, at(10));
    subject.merge_snapshot(std::vector<state_record>{{.key = "b", .offset = 1, .value = "1"}}, 9, at(20));
    CHECK(seen.size() == 3);
    CHECK(seen.back().key == "a");
    CHECK(seen.back().removed);
}

// A key with a record newer than the snapshot must not count as removed.
TEST_CASE_FIXTURE(record_table_fixture, "record_table, key newer than the snapshot, is kept") {
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 20, .value = "1"}}, 21, at(10));
    subject.merge_snapshot({}, 9, at(20));
    CHECK(seen.size() == 1);
    CHECK(subject.end() == 21);
}

// Heartbeats of upstreams must not make all nodes fetch records.
TEST_CASE_FIXTURE(record_table_fixture,
                  "record_table, records without a change, are not returned to other nodes") {
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 0, .value = "1"}}, 1, at(10));
    effect = record_effect::unchanged;
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 1, .value = "1"}}, 2, at(20));
    CHECK(subject.since(1).empty());
    CHECK(subject.since(0).size() == 1);
    CHECK(subject.changed() == 1);
}

// A node must not extend its table to another node's end while it lacks a record.
TEST_CASE_FIXTURE(record_table_fixture, "record_table, lacks a record with a change, does not extend") {
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 0, .value = "1"}}, 1, at(10));
    CHECK_FALSE(subject.extend(5, 8, at(30)));
    CHECK(subject.extend(1, 8, at(30)));
    CHECK(subject.end() == 8);
    CHECK(subject.confirmed() == at(30));
}

// Guards against an order by offset alone, which ignores the records of a restored store.
TEST_CASE_FIXTURE(record_table_fixture,
                  "record_table, store starts a new epoch, replaces records of higher offsets") {
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 20, .value = "1"},
                                            {.key = "b", .offset = 21, .value = "1"}},
                  22, at(10));
    subject.begin_epoch({.epoch = 1, .end = 5, .restored_end = 5},
                        std::vector<state_record>{{.key = "a", .offset = 4, .value = "2", .epoch = 1}},
                        at(20));
    REQUIRE(seen.size() == 4);
    CHECK(seen[2].key == "b");
    CHECK(seen[2].removed);
    CHECK(seen[3].value == "2");
    CHECK(subject.end() == 5);
    CHECK(subject.changed() == 5);
    CHECK(subject.epoch() == 1);
    subject.merge_snapshot({}, 9, at(30));
    CHECK(seen.back().key == "a");
    CHECK(seen.back().removed);
}

// An old copy from a node that was paused must not restore a key that a restarted node never saw, because the
// key had been removed before its snapshot.
TEST_CASE_FIXTURE(record_table_fixture,
                  "record_table, older copy has a key that was removed since, ignores it") {
    subject.merge_snapshot(std::vector<state_record>{{.key = "b", .offset = 8, .value = "1"}}, 12, at(10));
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 5, .value = "1"},
                                            {.key = "b", .offset = 6, .value = "0"}},
                  7, at(20));
    CHECK(seen.size() == 1);
    CHECK(seen.back().key == "b");
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 12, .value = "2"}}, 13, at(30));
    CHECK(seen.back().key == "a");
}

// Guards against other nodes that learn from this one what it has itself recognized as outdated: a write that
// the store executed late.
TEST_CASE_FIXTURE(record_table_fixture,
                  "record_table, superseded record, other nodes get what was in force before it") {
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 0, .value = "1"},
                                            {.key = "b", .offset = 1, .value = "7"}},
                  2, at(10));
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 2, .removed = true}}, 3, at(20));
    effect = record_effect::superseded;
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 3, .value = "0"},
                                            {.key = "b", .offset = 4, .value = "6"},
                                            {.key = "c", .offset = 5, .value = "1"}},
                  6, at(30));
    const auto records = subject.since(0);
    REQUIRE(records.size() == 3);
    CHECK(records[0].removed);
    CHECK(records[1].value == "7");
    CHECK(records[2].removed); // its upstream left before this table was complete
    REQUIRE(subject.since(2).size() == 1);
    CHECK(subject.since(2)[0].key == "a");
    CHECK(subject.changed() == 3);
    CHECK(subject.end() == 6);
}

// Guards against a superseded record whose key outlives its absence in a later snapshot, and against one that
// hides a newer record.
TEST_CASE_FIXTURE(record_table_fixture,
                  "record_table, record after a superseded one, is applied by its position") {
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 0, .value = "7"}}, 1, at(10));
    effect = record_effect::superseded;
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 4, .value = "6"}}, 5, at(20));
    effect = record_effect::changed;
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 3, .value = "5"}}, 5, at(30));
    CHECK(seen.size() == 2);
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 5, .value = "8"}}, 6, at(40));
    CHECK(seen.back().value == "8");
    subject.merge_snapshot({}, 9, at(50));
    CHECK(seen.back().removed);
}

// Guards against requests to an upstream that has left, because the store executed one of its writes after
// the removal.
TEST_CASE_FIXTURE(directory_fixture,
                  "upstream_directory, late registration of an upstream that has left, is ignored") {
    subject.apply(entry("a", 100, 7), warm_up, at(0));
    subject.remove("a", false, at(10));
    CHECK(subject.is_superseded(entry("a", 100, 5)));
    CHECK_FALSE(subject.apply(entry("a", 100, 5), warm_up, at(20)));
    CHECK_FALSE(subject.apply(entry("a", 90, 50), warm_up, at(30))); // of the start before
    CHECK(subject.find("a") == nullptr);
    CHECK(subject.apply(entry("a", 100, 8), warm_up, at(40))); // it had not left
    subject.remove("a", false, at(50));
    CHECK(subject.apply(entry("a", 200, 1), warm_up, at(60))); // a new start
}

// Guards against a draining upstream that a late write makes ready again, also after its removal.
TEST_CASE_FIXTURE(directory_fixture,
                  "upstream_directory, late registration of a draining upstream, changes nothing") {
    auto draining = entry("a", 100, 7);
    draining.draining = true;
    subject.apply(entry("a", 100, 6), warm_up, at(0));
    subject.apply(draining, warm_up, at(10));
    CHECK_FALSE(subject.apply(entry("a", 100, 5), warm_up, at(20)));
    CHECK_FALSE(subject.usable(*subject.find("a")));
    subject.remove("a", false, at(30));
    CHECK_FALSE(subject.apply(entry("a", 100, 5), warm_up, at(40)));
}

// Guards against the same for an upstream whose registration expired during an outage of the store.
TEST_CASE_FIXTURE(directory_fixture,
                  "upstream_directory, late registration after the end of a lapse, is ignored") {
    subject.apply(entry("a", 100, 7), warm_up, at(0));
    subject.remove("a", true, at(10));
    subject.expire(at(10) + upstream_directory::lapse_grace);
    CHECK_FALSE(subject.apply(entry("a", 100, 6), warm_up, at(5000)));
    CHECK(subject.apply(entry("a", 100, 8), warm_up, at(6000)));
}

// Guards against a full memory of removed upstreams that takes in no further one.
TEST_CASE_FIXTURE(directory_fixture,
                  "upstream_directory, more upstreams leave than are remembered, forgets the oldest") {
    for (int n = 0; n < 5000; ++n) {
        const auto id = "u" + std::to_string(n);
        subject.apply(entry(id, 100, 7), warm_up, at(n));
        subject.remove(id, false, at(n));
    }
    CHECK_FALSE(subject.apply(entry("u4999", 100, 5), warm_up, at(6000)));
    CHECK_FALSE(subject.apply(entry("u1000", 100, 5), warm_up, at(6000)));
    CHECK(subject.apply(entry("u0", 100, 5), warm_up, at(6000)));
}

// Guards against using an upstream that has left because a restored store still lists it.
TEST_CASE_FIXTURE(
    directory_fixture,
    "upstream_directory, restored store lists an upstream that has left, waits for its report") {
    subject.apply(entry("a", 100, 3), warm_up, at(0));
    subject.remove("a", false, at(10));
    auto restored = entry("a", 100, 2);
    restored.epoch = 1;
    CHECK_FALSE(subject.apply(restored, warm_up, at(20)));
    restored.sequence = 3;
    CHECK_FALSE(subject.apply(restored, warm_up, at(30)));
    restored.sequence = 4;
    CHECK(subject.apply(restored, warm_up, at(40)));
    subject.remove("a", false, at(50), 1);
    CHECK(subject.apply(restored, warm_up, at(60))); // registers again in the same epoch
}

// Guards against refusing an upstream that the backup lacks and that registers again unchanged.
TEST_CASE_FIXTURE(directory_fixture,
                  "upstream_directory, upstream missing in a restored store, may register again unchanged") {
    subject.apply(entry("a", 100, 3), warm_up, at(0));
    subject.remove("a", true, at(10), 1);
    CHECK(subject.usable(*subject.find("a")));
    subject.expire(at(10) + upstream_directory::lapse_grace);
    CHECK(subject.find("a") == nullptr);
    auto again = entry("a", 100, 3);
    again.epoch = 1;
    CHECK(subject.apply(again, warm_up, at(5000)));
}

// An upstream that announced its stop must stay out of use until its next start, whatever the order in which
// records of its registration arrive.
TEST_CASE_FIXTURE(directory_fixture,
                  "upstream_directory, stop announced by the upstream, ends with its next start") {
    subject.apply(entry("a", 100, 3), warm_up, at(0));
    CHECK(subject.announce_leave(*subject.find("a")));
    CHECK_FALSE(subject.announce_leave(*subject.find("a")));
    subject.apply(entry("a", 100, 4), warm_up, at(10));
    CHECK_FALSE(subject.usable(*subject.find("a")));
    subject.remove("a", false, at(20));
    subject.apply(entry("a", 100, 5), warm_up, at(30)); // for example from another node's older copy
    CHECK_FALSE(subject.usable(*subject.find("a")));
    subject.remove("a", true, at(40));
    subject.apply(entry("a", 100, 6), warm_up, at(50));
    CHECK_FALSE(subject.usable(*subject.find("a")));
    subject.apply(entry("a", 200, 1), warm_up, at(60));
    CHECK(subject.usable(*subject.find("a")));
}

// Callers must learn when a paused service takes requests again, and must not wait while one upstream does.
TEST_CASE_FIXTURE(directory_fixture, "upstream_directory, all upstreams paused, returns the earliest end") {
    subject.apply(entry("a", 100, 1), warm_up, at(0));
    subject.apply(entry("b", 100, 1), warm_up, at(0));
    CHECK_FALSE(subject.paused_until("s", at(0)));
    subject.find("a")->paused_until = at(500);
    CHECK_FALSE(subject.paused_until("s", at(0)));
    subject.find("b")->paused_until = at(300);
    CHECK(subject.paused_until("s", at(0)) == at(300));
    CHECK_FALSE(subject.paused_until("s", at(300)));
    CHECK_FALSE(subject.paused_until("unknown", at(0)));
}

// A late registration from an earlier start must not restore the old address of an upstream.
TEST_CASE_FIXTURE(directory_fixture, "upstream_directory, registration of an earlier start, is ignored") {
    subject.apply(entry("u", 2000, 1), warm_up, at(0));
    auto old = entry("u", 1000, 50);
    old.address = "10.9.9.9:80";
    CHECK(subject.apply(old, warm_up, at(10)) == nullptr);
    CHECK(subject.find("u")->entry.address == "10.0.0.1:80");
}

// An upstream that restarted under the same id must not receive full load at once.
TEST_CASE_FIXTURE(directory_fixture, "upstream_directory, new start under the same id, is cold") {
    subject.apply(entry("u", 1000, 9), warm_up, at(0));
    CHECK(subject.find("u")->cold_until <= at(0));
    subject.apply(entry("u", 2000, 1), warm_up, at(100));
    CHECK(subject.find("u")->cold_until == at(100) + warm_up);
}

// Guards against full load on an upstream that becomes cold again without a start while its last warm-up
// runs.
TEST_CASE_FIXTURE(directory_fixture,
                  "upstream_directory, longer warm-up while one is running, is cold for the longer time") {
    auto it = entry("u", 1000, 1);
    it.cold_left = millis{1000};
    subject.apply(it, warm_up, at(0));
    it.sequence = 2;
    it.cold_left = millis{3000};
    CHECK(subject.apply(it, warm_up, at(500)) != nullptr); // other nodes must receive the record
    CHECK(subject.find("u")->cold_until == at(3500));
    CHECK(subject.find("u")->cold_updated_at == at(500)); // a probe from before does not end it
}

// Guards against an end of the warm-up by a late registration, and against registrations that only repeat the
// remaining time and are passed on as changes.
TEST_CASE_FIXTURE(directory_fixture,
                  "upstream_directory, registration repeats the warm-up, is neither shortened nor a change") {
    auto it = entry("u", 1000, 1);
    it.cold_left = millis{3000};
    subject.apply(it, warm_up, at(0));
    it.sequence = 2;
    it.cold_left = millis{1000};
    CHECK(subject.apply(it, warm_up, at(500)) == nullptr);
    CHECK(subject.find("u")->cold_until == at(3000));
    it.sequence = 3;
    it.cold_left = millis{2000};
    CHECK(subject.apply(it, warm_up, at(1000) + upstream_directory::cold_delay) == nullptr);
    CHECK(subject.find("u")->cold_until == at(3000) + upstream_directory::cold_delay);
}

// No new requests may be sent to an upstream that is draining or no longer registered.
TEST_CASE_FIXTURE(directory_fixture, "upstream_directory, draining or removed, receives no request") {
    subject.apply(entry("u", 1000, 1), warm_up, at(0));
    const auto held = subject.find("u");
    auto leaving = entry("u", 1000, 2);
    leaving.draining = true;
    CHECK(subject.apply(leaving, warm_up, at(10)) != nullptr);
    CHECK_FALSE(subject.usable(*held));
    subject.apply(entry("v", 1000, 1), warm_up, at(0));
    const auto removed = subject.find("v");
    subject.remove("v", false, at(20));
    CHECK(subject.find("v") == nullptr);
    CHECK_FALSE(subject.usable(*removed));
}

// If registrations expire during an outage of the store, live upstreams must be kept, but dead ones only for
// the grace period.
TEST_CASE_FIXTURE(directory_fixture,
                  "upstream_directory, lapsed in a store outage, is kept for the grace period only") {
    subject.apply(entry("u", 1000, 1), warm_up, at(0));
    subject.apply(entry("v", 1000, 1), warm_up, at(0));
    subject.remove("u", true, at(100));
    subject.remove("v", true, at(100));
    CHECK(subject.usable(*subject.find("u")));
    subject.apply(entry("u", 1000, 2), warm_up, at(500));
    subject.expire(at(100) + upstream_directory::lapse_grace);
    CHECK(subject.find("u") != nullptr);
    CHECK(subject.find("v") == nullptr);
}

// A draining upstream must not receive requests again because its removal counts as a lapse.
TEST_CASE_FIXTURE(directory_fixture, "upstream_directory, draining upstream lapses, is removed at once") {
    auto it = entry("u", 1000, 1);
    it.draining = true;
    subject.apply(it, warm_up, at(0));
    subject.remove("u", true, at(10));
    CHECK(subject.find("u") == nullptr);
}

// An evacuated failure domain must receive no requests, and its upstreams must warm up again after the
// evacuation.
TEST_CASE_FIXTURE(directory_fixture, "upstream_directory, evacuation of a failure domain ends, is cold") {
    subject.apply(entry("u", 1000, 1), warm_up, at(0));
    const auto held = subject.find("u");
    subject.set_evacuated("north", true, warm_up, at(10));
    CHECK_FALSE(subject.usable(*held));
    subject.set_evacuated("north", false, warm_up, at(500));
    CHECK(subject.usable(*held));
    CHECK(held->cold_until == at(500) + warm_up);
}

} // namespace berylcrank
