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

} // namespace berylcrank
