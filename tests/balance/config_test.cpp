#include "modules/berylcrank_balance/config/route_table.h"
#include "modules/berylcrank_balance/config/weighted_split.h"

#include <doctest/doctest.h>
#include <map>

namespace berylcrank {

namespace {

route_entry route(const std::string& name, const std::string& prefix, const std::string& service) {
    return {.name = name, .host = "shop.example", .path_prefix = prefix, .parts = {{.service = service}}};
}

struct route_table_fixture {
    route_table subject;

    route_table_fixture() {
        subject.apply({.version = 7, .routes = {route("a", "/a/", "one"), route("ab", "/a/b/", "two")}});
    }
};

using parts_list = std::vector<traffic_part>;

parts_list two_parts(double first, double second) {
    return {{.service = "a", .weight = first}, {.service = "b", .weight = second}};
}

// Counts the services of the next `n` requests of one route.
std::map<std::string, int> count_picks(weighted_split& subject, const parts_list& parts, int n) {
    std::map<std::string, int> counts;
    for (int i = 0; i < n; ++i) {
        ++counts[subject.pick("r", parts).service];
    }
    return counts;
}

const std::vector<double> phases = {0.0, 0.3, 0.5, 0.99};

} // namespace

// A request must not be sent to the service of a less specific route.
TEST_CASE_FIXTURE(route_table_fixture, "route_table, two prefixes match, returns the longest") {
    CHECK(subject.find("shop.example", "/a/b/c")->name == "ab");
    CHECK(subject.find("shop.example", "/a/c")->name == "a");
    CHECK(subject.find("Shop.Example:80", "/a/c")->name == "a");
    CHECK(subject.find("shop.example", "/c/") == nullptr);
    CHECK(subject.find("other.example", "/a/") == nullptr);
}

// The configuration must not revert to an older version after an outage of the store.
TEST_CASE_FIXTURE(route_table_fixture, "route_table, older version arrives late, keeps the newer") {
    CHECK_FALSE(subject.apply({.version = 6, .routes = {route("old", "/old/", "one")}}));
    CHECK(subject.version() == 7);
    CHECK(subject.find("shop.example", "/old/") == nullptr);
}

// A new configuration must not free the route of a request in flight.
TEST_CASE_FIXTURE(route_table_fixture, "route_table, new version, keeps routes that are in use") {
    const auto held = subject.find("shop.example", "/a/b/c");
    CHECK(subject.apply({.version = 9}));
    CHECK(held->name == "ab");
    CHECK(subject.find("shop.example", "/a/b/c") == nullptr);
}

// Each part of a traffic split must receive its weight.
TEST_CASE("weighted_split, three parts, keeps the weights in every run of 100") {
    for (const double phase : {0.0, 0.3, 0.99}) {
        weighted_split subject(phase);
        const std::vector<traffic_part> parts{
            {.service = "a", .weight = 70}, {.service = "b", .weight = 25}, {.service = "c", .weight = 5}};
        for (int run = 0; run < 5; ++run) {
            std::map<std::string, int> counts;
            for (int i = 0; i < 100; ++i) {
                ++counts[subject.pick("r", parts).service];
            }
            CHECK(counts["a"] >= 68);
            CHECK(counts["a"] <= 72);
            CHECK(counts["b"] >= 23);
            CHECK(counts["b"] <= 27);
            CHECK(counts["c"] >= 3);
        }
    }
}

// A part with weight zero must receive no requests.
TEST_CASE("weighted_split, weight of zero, never picks that part") {
    weighted_split subject(0.5);
    const std::vector<traffic_part> parts{{.service = "a", .weight = 0}, {.service = "b", .weight = 1}};
    for (int i = 0; i < 50; ++i) {
        CHECK(subject.pick("r", parts).service == "b");
    }
}

// Guards against a service that a configuration takes out of a split and that goes on receiving requests,
// because the weights of the configuration before were on a larger scale.
TEST_CASE("weighted_split, weight becomes zero on a smaller scale, never picks that part") {
    for (const double phase : phases) {
        for (int before = 0; before < 4; ++before) {
            weighted_split subject(phase);
            count_picks(subject, two_parts(500, 500), before);
            CHECK(count_picks(subject, two_parts(1, 0), 300)["b"] == 0);
            CHECK(count_picks(subject, two_parts(0, 1e-9), 300)["a"] == 0);
        }
    }
}

// Guards against the state of an earlier configuration that distorts the proportions of the one in force.
TEST_CASE("weighted_split, weights on any scale after others, keeps the new proportions") {
    for (const double phase : phases) {
        weighted_split subject(phase);
        for (const double scale : {1.0, 1e9, 1e-9, 1e300, 3.0, 1e-300}) {
            CAPTURE(scale);
            count_picks(subject, two_parts(scale, 999 * scale), 7);
            const auto counts = count_picks(subject, two_parts(3 * scale, scale), 100);
            CHECK(counts.at("a") >= 74);
            CHECK(counts.at("a") <= 76);
        }
    }
}

// Guards against a new service that inherits what the one at its place in the list had received.
TEST_CASE("weighted_split, same weights for other services, starts their sequence anew") {
    for (const double phase : phases) {
        weighted_split subject(phase);
        count_picks(subject, two_parts(3, 1), 2);
        const parts_list other{{.service = "c", .weight = 3}, {.service = "d", .weight = 1}};
        weighted_split unused(phase);
        for (int i = 0; i < 20; ++i) {
            CHECK(subject.pick("r", other).service == unused.pick("r", other).service);
        }
    }
}

// Guards against a restart of the sequence with each configuration, which would send the first requests after
// each change of another route to the same part.
TEST_CASE("weighted_split, same proportions on another scale, goes on with the sequence") {
    for (const double phase : phases) {
        weighted_split subject(phase);
        int first = 0;
        for (int version = 0; version < 100; ++version) {
            const double scale = version % 2 == 0 ? 1 : 1000;
            first += subject.pick("r", two_parts(2 * scale, scale)).service == "a" ? 1 : 0;
        }
        CHECK(first >= 66);
        CHECK(first <= 68);
    }
}

// Guards against a part of weight zero between others, and against a split without any weight.
TEST_CASE("weighted_split, some or all weights zero, picks only the others or all parts equally") {
    for (const double phase : phases) {
        weighted_split subject(phase);
        const parts_list middle{
            {.service = "a", .weight = 1}, {.service = "b", .weight = 0}, {.service = "c", .weight = 1}};
        CHECK(count_picks(subject, middle, 100)["b"] == 0);
        const parts_list ends{
            {.service = "a", .weight = 0}, {.service = "b", .weight = 1}, {.service = "c", .weight = 0}};
        CHECK(count_picks(subject, ends, 100)["b"] == 100);
        const auto first = count_picks(subject, two_parts(0, 0), 100)["a"];
        CHECK(first >= 49);
        CHECK(first <= 51);
    }
}

} // namespace berylcrank
