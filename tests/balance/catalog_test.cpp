#include "modules/berylcrank_balance/catalog/record_table.h"
#include "modules/berylcrank_balance/catalog/upstream_directory.h"

#include <doctest/doctest.h>

namespace berylcrank {

namespace {

instant at(std::int64_t ms) {
    return instant{millis{ms}};
}

struct record_book_fixture {
    std::vector<state_record> seen;
    bool meaning{true};
    record_table subject{[this](const state_record& it) {
        seen.push_back(it);
        return meaning;
    }};
};

upstream_entry entry(const std::string& id, std::uint64_t born, std::uint64_t sequence) {
    return {.id = id,
            .service = "s",
            .address = "10.0.0.1:80",
            .failure_domain = "north",
            .slots = 4,
            .sequence = sequence,
            .start_time_ms = born};
}

struct directory_fixture {
    upstream_directory subject;
    static constexpr millis warm_up{3000};
};

} // namespace

// Guards against records that take effect twice or in the wrong order when two nodes pass them on.
TEST_CASE_FIXTURE(record_book_fixture, "record_book, same records from two sides, applies each once") {
    const std::vector<state_record> run{{.key = "a", .offset = 0, .value = "1"},
                                        {.key = "a", .offset = 1, .value = "2"}};
    subject.merge(run, 2, at(10));
    subject.merge(std::span(run).first(1), 1, at(20));
    CHECK(seen.size() == 2);
    CHECK(seen.back().value == "2");
    CHECK(subject.end() == 2);
}

// Guards against an upstream that stays known because its removal lies in records that the store dropped.
TEST_CASE_FIXTURE(record_book_fixture, "record_book, key missing in a snapshot, counts as removed") {
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 0, .value = "1"},
                                            {.key = "b", .offset = 1, .value = "1"}},
                  2, at(10));
    subject.merge_snapshot(std::vector<state_record>{{.key = "b", .offset = 1, .value = "1"}}, 9, at(20));
    CHECK(seen.size() == 3);
    CHECK(seen.back().key == "a");
    CHECK(seen.back().removed);
}

// Guards against a removal invented for a record that is newer than the snapshot.
TEST_CASE_FIXTURE(record_book_fixture, "record_book, key newer than the snapshot, stays") {
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 20, .value = "1"}}, 21, at(10));
    subject.merge_snapshot({}, 9, at(20));
    CHECK(seen.size() == 1);
    CHECK(subject.end() == 21);
}

// Guards against every heartbeat of an upstream making all nodes fetch records.
TEST_CASE_FIXTURE(record_book_fixture, "record_book, records without meaning, are not given to others") {
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 0, .value = "1"}}, 1, at(10));
    meaning = false;
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 1, .value = "1"}}, 2, at(20));
    CHECK(subject.since(1).empty());
    CHECK(subject.since(0).size() == 1);
    CHECK(subject.changed() == 1);
}

// Guards against a node that takes another's word although it lacks a record.
TEST_CASE_FIXTURE(record_book_fixture, "record_book, lacks a record of meaning, does not extend") {
    subject.merge(std::vector<state_record>{{.key = "a", .offset = 0, .value = "1"}}, 1, at(10));
    CHECK_FALSE(subject.extend(5, 8, at(30)));
    CHECK(subject.extend(1, 8, at(30)));
    CHECK(subject.end() == 8);
    CHECK(subject.confirmed() == at(30));
}

// Guards against a late registration of an earlier start that revives an upstream's old address.
TEST_CASE_FIXTURE(directory_fixture, "upstream_directory, registration of an earlier start, is ignored") {
    subject.apply(entry("u", 2000, 1), warm_up, at(0));
    auto old = entry("u", 1000, 50);
    old.address = "10.9.9.9:80";
    CHECK(subject.apply(old, warm_up, at(10)) == nullptr);
    CHECK(subject.find("u")->entry.address == "10.0.0.1:80");
}

// Guards against full load on an upstream that restarted under its id.
TEST_CASE_FIXTURE(directory_fixture, "upstream_directory, new start under the same id, is cold") {
    subject.apply(entry("u", 1000, 9), warm_up, at(0));
    CHECK(subject.find("u")->cold_until <= at(0));
    subject.apply(entry("u", 2000, 1), warm_up, at(100));
    CHECK(subject.find("u")->cold_until == at(100) + warm_up);
}

// Guards against new requests to an upstream that is leaving or whose registration is gone.
TEST_CASE_FIXTURE(directory_fixture, "upstream_directory, draining or removed, gets no request") {
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

// Guards against losing all upstreams when their registrations lapse with the store, and against keeping the
// dead.
TEST_CASE_FIXTURE(directory_fixture,
                  "upstream_directory, lapsed with the store, is kept for the grace only") {
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

// Guards against a draining upstream that gets requests again because its removal counts as a lapse.
TEST_CASE_FIXTURE(directory_fixture, "upstream_directory, draining upstream lapses, is gone at once") {
    auto it = entry("u", 1000, 1);
    it.draining = true;
    subject.apply(it, warm_up, at(0));
    subject.remove("u", true, at(10));
    CHECK(subject.find("u") == nullptr);
}

// Guards against requests to an evacuated failure domain, and a full load on its cold upstreams when it is
// back.
TEST_CASE_FIXTURE(directory_fixture, "upstream_directory, failure domain evacuated and taken back, is cold") {
    subject.apply(entry("u", 1000, 1), warm_up, at(0));
    const auto held = subject.find("u");
    subject.set_evacuated("north", true, warm_up, at(10));
    CHECK_FALSE(subject.usable(*held));
    subject.set_evacuated("north", false, warm_up, at(500));
    CHECK(subject.usable(*held));
    CHECK(held->cold_until == at(500) + warm_up);
}

} // namespace berylcrank
