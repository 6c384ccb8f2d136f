#include "modules/berylcrank_routing/policy/estimated_load_policy.h"
#include "modules/berylcrank_routing/policy/subset.h"
#include "modules/berylcrank_routing/policy/upstream_stats.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace berylcrank {

namespace {

instant at(double ms) {
    return instant{millis::from_value(ms)};
}

struct policy_fixture {
    seeded_random random{1};
    std::vector<candidate_view> views{{.id = 1, .slots = 4}, {.id = 2, .slots = 4}, {.id = 3, .slots = 4}};

    std::map<std::size_t, int> choices(upstream_policy& subject, int count = 300) {
        std::map<std::size_t, int> counts;
        for (int n = 0; n < count; ++n) {
            ++counts[subject.choose(views, random)];
        }
        return counts;
    }
};

struct stats_fixture {
    service_baseline baseline;
    upstream_stats subject{{}};

    void respond(double start_ms, double latency_ms) {
        subject.on_dispatch(baseline, at(start_ms));
        subject.on_response(millis::from_value(latency_ms), baseline, at(start_ms + latency_ms));
    }

    candidate_view view(double ms) const {
        candidate_view result{.id = 1, .slots = 4};
        subject.fill(result, baseline, at(ms));
        return result;
    }
};

} // namespace

// Guards against nodes that all choose the same one of equal upstreams.
TEST_CASE_FIXTURE(policy_fixture, "policies, equal upstreams, distribute the requests") {
    for (const auto kind : {policy_kind::estimated_load, policy_kind::least_in_flight, policy_kind::random,
                            policy_kind::power_of_two, policy_kind::round_robin}) {
        CAPTURE(std::string(to_string(kind)));
        const auto policy = make_policy(kind);
        const auto counts = choices(*policy);
        CHECK(counts.size() == 3);
        for (const auto& [index, count] : counts) {
            CHECK(count > 60);
        }
    }
}

TEST_CASE_FIXTURE(policy_fixture, "policies based on load, one idle upstream, prefer it") {
    views[0].in_flight = 3;
    views[2].in_flight = 3;
    for (const auto kind : {policy_kind::estimated_load, policy_kind::least_in_flight}) {
        const auto policy = make_policy(kind);
        CHECK(choices(*policy) == std::map<std::size_t, int>{{1, 300}});
    }
    const auto policy = make_policy(policy_kind::power_of_two);
    CHECK(choices(*policy)[1] > 150);
}

// Guards against an upstream that fails fast and attracts traffic because it is always idle.
TEST_CASE_FIXTURE(policy_fixture, "estimated_load_policy, failing or slow upstream, is avoided") {
    estimated_load_policy subject;
    views[0].error_rate = 0.5;
    views[1].in_flight = 2;
    views[2].slowness = 4;
    CHECK(choices(subject) == std::map<std::size_t, int>{{1, 300}});
}

// Guards against slowness that is detected only after the late response.
TEST_CASE_FIXTURE(stats_fixture, "upstream_stats, long-running request in flight, counts as slow") {
    for (int n = 0; n < 50; ++n) {
        respond(n * 10, 10);
    }
    CHECK(view(500).slowness < 1.5);
    subject.on_dispatch(baseline, at(500));
    CHECK(view(600).slowness > view(510).slowness);
    CHECK(view(700).slowness > 2);
}

// Guards against upstreams that attract traffic by reporting no load.
TEST_CASE_FIXTURE(stats_fixture, "upstream_stats, constant report, has no effect") {
    seeded_random random(2);
    for (int n = 0; n < 500; ++n) { // another upstream with current reports
        const double load = static_cast<double>(random.below(8));
        baseline.record_latency(millis{10});
        baseline.record_report(load, millis::from_value(5 + 2 * load));
        baseline.record_other_nodes_load(load);
    }
    REQUIRE(baseline.reports().weight() > 0.9);
    for (int n = 0; n < 300; ++n) {
        subject.on_report({.in_flight = 0, .slots = 4}, baseline, at(n));
    }
    CHECK(view(300).other_nodes_load == doctest::Approx(baseline.mean_other_nodes_load()).epsilon(0.01));
}

// Guards against herding on reports that are stale when they arrive.
TEST_CASE("report_correlation, reports unrelated to latency, get less weight") {
    seeded_random random(3);
    report_correlation stale;
    report_correlation current;
    for (int n = 0; n < 2000; ++n) {
        const double load = static_cast<double>(random.below(8));
        const double service = -std::log(1 - random.unit());
        stale.record(static_cast<double>(random.below(8)), service + load / 4);
        current.record(load, service + load / 4);
    }
    CHECK(stale.weight() < 0.5);
    CHECK(current.weight() == 1);
}

TEST_CASE_FIXTURE(stats_fixture, "upstream_stats, shed request, counts as load for a short time") {
    for (int n = 0; n < 20; ++n) {
        respond(n * 10, 10);
    }
    subject.on_dispatch(baseline, at(200));
    subject.on_shed(4, baseline, at(201));
    CHECK(view(201).other_nodes_load > 5);
    CHECK(view(400).other_nodes_load < 0.5);
    CHECK(view(201).in_flight == 0);
}

TEST_CASE("choose_subset, failure domains of different size, is even and stable") {
    std::vector<std::string> names;
    std::vector<subset_member> all;
    for (int n = 0; n < 300; ++n) {
        names.push_back("u" + std::to_string(n));
    }
    for (int n = 0; n < 300; ++n) {
        all.push_back({.upstream = names[n], .failure_domain = n < 200 ? "a" : n < 280 ? "b" : "c"});
    }
    const auto chosen = choose_subset(all, 7, 30);
    std::map<std::string_view, int> domains;
    for (const auto n : chosen) {
        ++domains[all[n].failure_domain];
    }
    CHECK(domains == std::map<std::string_view, int>{{"a", 10}, {"b", 10}, {"c", 10}});
    CHECK(choose_subset(all, 7, 30) == chosen);
    CHECK(choose_subset(all, 8, 30) != chosen);
    // A removed upstream is replaced by one other. The rest stays, so connections are kept.
    const auto removed = all[chosen[0]].upstream;
    std::erase_if(all, [&](const auto& it) { return it.upstream == removed; });
    int kept = 0;
    for (const auto n : choose_subset(all, 7, 30)) {
        kept +=
            std::ranges::any_of(chosen, [&](std::size_t it) { return names[it] == all[n].upstream; }) ? 1 : 0;
    }
    CHECK(kept == 29);
}

} // namespace berylcrank
