#include "modules/berylcrank_balance/choice/transfer_sizes.h"
#include "modules/berylcrank_balance/choice/upstream_choice.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <numeric>

namespace berylcrank {

namespace {

instant at(std::int64_t ms) {
    return instant{millis{ms}};
}

constexpr bool always(const upstream& /*it*/) {
    return true;
}

struct choice_fixture {
    upstream_directory directory;
    load_tracker loads;
    choice_options options{.failure_domain = "north"};
    seeded_random random{5};
    double transfer_bytes{0};
    const slot_shares::share_map* shares{nullptr};
    millis time_left;

    void add(const std::string& id, const std::string& domain = "north", int slots = 4) {
        directory.apply(
            {.id = id, .service = "s", .address = "10.0.0.1:80", .failure_domain = domain, .slots = slots},
            millis{}, at(0));
        // an earlier outcome, so that the upstream does not count as untried
        loads.outcome(number(id), {.good = 1}, at(1), false);
    }

    [[nodiscard]] std::uint32_t number(const std::string& id) const { return directory.find(id)->number; }

    upstream_pick pick(instant now, std::vector<std::uint32_t> tried = {}) {
        return choose_upstream(directory, loads,
                               {.candidates = directory.of_service("s"),
                                .tried = tried,
                                .transfer_bytes = transfer_bytes,
                                .cold_allowed = always,
                                .shares = shares,
                                .in_time_only = time_left > millis{},
                                .target_left = time_left,
                                .duration = millis{70}},
                               options, random, now);
    }

    void report(const std::string& id, double slowness, instant when, int running = 0) {
        loads.report(number(id), {.running = running, .slots = 4, .slowness = slowness, .at = when}, false);
    }
};

} // namespace

// Requests must avoid an upstream that is currently slowed down by noisy neighbours.
TEST_CASE_FIXTURE(choice_fixture,
                  "choose_upstream, one reports slowness, avoids it while the report is fresh") {
    add("a");
    add("b");
    report("a", 4, at(1000));
    report("b", 1, at(1000));
    for (int i = 0; i < 20; ++i) {
        CHECK(pick(at(1030)).it->entry.id == "b");
    }
    bool slow_again = false; // an old report has no weight
    for (int i = 0; i < 50; ++i) {
        slow_again = slow_again || pick(at(9000)).it->entry.id == "a";
    }
    CHECK(slow_again);
}

// An upstream that asked for a pause must get no request until the pause ends, even if it is the only one.
TEST_CASE_FIXTURE(choice_fixture, "choose_upstream, upstream asked for a pause, skips it until then") {
    add("a");
    directory.find("a")->paused_until = at(1500);
    CHECK_FALSE(pick(at(1499)).it);
    CHECK(pick(at(1500)).it);
    add("b");
    CHECK(pick(at(1000)).it->entry.id == "b");
}

// Nodes must not all fill the same upstream because each counts only its own requests.
TEST_CASE_FIXTURE(choice_fixture, "choose_upstream, other nodes have filled one, includes their requests") {
    add("a");
    add("b");
    const std::vector<in_flight_count> others{{.upstream = number("a"), .count = 4}};
    loads.set_peer_in_flight(99, others);
    CHECK(pick(at(1000)).it->entry.id == "b");
    loads.set_peer_in_flight(99, {});
    loads.sent(number("b"));
    loads.sent(number("b"));
    CHECK(pick(at(1000)).it->entry.id == "a");
}

// Several groups of nodes must not each fill the same upstream as if the others did not exist.
TEST_CASE_FIXTURE(choice_fixture,
                  "load_tracker, upstream serves nodes that report nothing, includes their requests") {
    add("a");
    loads.set_has_untracked_nodes(true);
    loads.sent(number("a"));
    loads.report(number("a"), {.running = 4, .slots = 4, .slowness = 1, .at = at(1000)}, false);
    loads.sent(number("a"));
    CHECK(loads.in_flight(loads.at(number("a")), at(1050)) == 5);
    // The report is too old for its counts, but the other nodes' requests have not all ended.
    CHECK(loads.in_flight(loads.at(number("a")), at(1300)) >= 3);
    CHECK(loads.in_flight(loads.at(number("a")), at(5000)) == 2);
    loads.set_has_untracked_nodes(false);
    loads.report(number("a"), {.running = 4, .slots = 4, .slowness = 1, .at = at(6000)}, false);
    CHECK(loads.in_flight(loads.at(number("a")), at(6300)) == 2);
}

// An upstream of other cells must not count as free because it has no report.
TEST_CASE_FIXTURE(choice_fixture, "choose_upstream, only recent reports wanted, skips the others") {
    add("a");
    add("b");
    report("a", 1, at(1000));
    report("b", 4, at(1900));
    const choice_request request{.candidates = directory.of_service("s"),
                                 .cold_allowed = [](const upstream&) { return true; },
                                 .max_report_age = millis{500}};
    CHECK(choose_upstream(directory, loads, request, {}, random, at(2000)).it->entry.id == "b");
    CHECK(choose_upstream(directory, loads, request, {}, random, at(3000)).it == nullptr);
}

// Above the knee, upstreams complete fewer requests, so no request may be sent to them.
TEST_CASE_FIXTURE(choice_fixture, "choose_upstream, all are at the knee, selects none") {
    add("a");
    add("b");
    for (const auto* id : {"a", "b"}) {
        for (int i = 0; i < 3; ++i) {
            loads.sent(number(id));
        }
    }
    CHECK(pick(at(1000)).it == nullptr);
    CHECK(pick(at(1000)).any_usable);
    loads.ended(number("a"));
    CHECK(pick(at(1000)).it != nullptr);
}

// An upstream that fails requests faster than others process them must not attract more requests.
TEST_CASE_FIXTURE(choice_fixture, "choose_upstream, one fails most requests, avoids it") {
    add("a");
    add("b");
    loads.outcome(number("a"), {.bad = 5}, at(1000), false);
    loads.sent(number("b"));
    for (int i = 0; i < 20; ++i) {
        CHECK(pick(at(1010)).it->entry.id == "b");
    }
}

// A retry must not go to the same upstream, and unreachable upstreams must be skipped.
TEST_CASE_FIXTURE(choice_fixture, "choose_upstream, tried or unreachable, is skipped") {
    add("a");
    add("b");
    CHECK(pick(at(1000), {number("a")}).it->entry.id == "b");
    loads.unreachable(number("b"), at(1000));
    CHECK(pick(at(1010)).it->entry.id == "a");
    CHECK(pick(at(1010), {number("a")}).it == nullptr);
    CHECK(pick(at(1000) + load_tracker::min_backoff, {number("a")}).it != nullptr);
}

// Requests must not cross failure domains while upstreams of the own domain have free slots.
TEST_CASE_FIXTURE(choice_fixture, "choose_upstream, equal load, prefers the own failure domain") {
    add("near");
    add("far", "south");
    for (int i = 0; i < 20; ++i) {
        CHECK(pick(at(1000)).it->entry.id == "near");
    }
}

// Downloads must not cross failure domains if they can be on time in their own.
TEST_CASE_FIXTURE(choice_fixture,
                  "choose_upstream, large transfer, leaves the failure domain only for a large gain") {
    add("near");
    add("far", "south");
    report("near", 3, at(1000));
    report("far", 1, at(1000));
    transfer_bytes = 1024;
    CHECK(pick(at(1000)).it->entry.id == "far");
    transfer_bytes = 90000;
    for (int i = 0; i < 20; ++i) {
        CHECK(pick(at(1000)).it->entry.id == "near");
    }
    report("near", 9, at(1001)); // much slower, so that the response time outweighs the transfer cost
    CHECK(pick(at(1001)).it->entry.id == "far");
}

// Sizes must be learned, and a single outlier must not change all choices.
TEST_CASE("transfer_sizes, responses recorded, expects their mean size") {
    transfer_sizes sizes;
    const route_entry small{.name = "small", .kind = request_kind::safe};
    const route_entry large{.name = "large", .kind = request_kind::download};
    CHECK(sizes.expected(small) == transfer_sizes::default_bytes);
    CHECK(sizes.expected(large) == transfer_sizes::default_download_bytes);
    for (int i = 0; i < 100; ++i) {
        sizes.record("small", 500);
    }
    sizes.record("small", 5000);
    CHECK(sizes.expected(small) == doctest::Approx(725));
}

// Nodes must not use each other's slots while requests are queued.
TEST_CASE_FIXTURE(choice_fixture,
                  "choose_upstream, requests queued at other nodes, uses only its own share") {
    add("a");
    add("b");
    const slot_shares::share_map own{{number("b"), 1}};
    shares = &own;
    CHECK(pick(at(1000)).it->entry.id == "b");
    loads.sent(number("b"));
    CHECK(pick(at(1000)).it == nullptr);
    CHECK(pick(at(1000)).any_usable);
}

// An on-time request must not be sent to an upstream so slow that the response would be late.
TEST_CASE_FIXTURE(choice_fixture, "choose_upstream, on-time request and slow upstream, skips it") {
    add("a");
    report("a", 4, at(1000));
    const slot_shares::share_map own{{number("a"), 3}};
    shares = &own;
    time_left = millis{150};
    CHECK(pick(at(1000)).it == nullptr);
    time_left = millis{400};
    CHECK(pick(at(1000)).it != nullptr);
    time_left = millis{}; // already late
    CHECK(pick(at(1000)).it != nullptr);
}

// An upstream that joins must receive requests.
TEST_CASE_FIXTURE(choice_fixture, "choose_upstream, one joined and was never used, selects it") {
    add("a");
    add("b");
    directory.apply(
        {.id = "new", .service = "s", .address = "10.0.0.9:80", .failure_domain = "south", .slots = 4},
        millis{}, at(500));
    CHECK(pick(at(1000)).it->entry.id == "new");
}

// Under changing load, the selection must be better than random and than least own in-flight requests, which
// it replaces. Simulates 12 upstreams, of which a third is four times slower for 300 ms at a time. Upstreams
// report every 60 ms.
TEST_CASE(
    "choose_upstream, slowness changes every 300 ms, completes more requests on time than simpler policies") {
    constexpr int upstreams = 12;
    constexpr double work_ms = 66;
    constexpr double target_ms = 150;
    const auto simulate = [&](int policy) {
        choice_fixture it;
        for (int i = 0; i < upstreams; ++i) {
            it.add("u" + std::to_string(i));
        }
        seeded_random noise(77);
        seeded_random policy_random(78);
        std::vector<double> slow(upstreams, 1);
        std::vector<std::deque<std::int64_t>> ends(upstreams); // end times of requests in flight
        int in_time = 0;
        int total = 0;
        for (std::int64_t ms = 1000; ms < 31000; ms += 5) {
            for (int i = 0; i < upstreams; ++i) {
                const auto u = static_cast<std::size_t>(i);
                if ((ms / 5 + i * 7) % 60 == 0) {
                    slow[u] = noise.unit() < 0.35 ? 4 : 1;
                }
                while (!ends[u].empty() && ends[u].front() <= ms) {
                    ends[u].pop_front();
                    it.loads.ended(it.number("u" + std::to_string(i)));
                }
                if (ms % 60 == 0) {
                    it.report("u" + std::to_string(i), slow[u], at(ms), static_cast<int>(ends[u].size()));
                }
            }
            std::size_t picked = policy_random.below(upstreams);
            if (policy == 1) { // least in flight
                picked = static_cast<std::size_t>(
                    std::min_element(ends.begin(), ends.end(),
                                     [](const auto& a, const auto& b) { return a.size() < b.size(); }) -
                    ends.begin());
            } else if (policy == 2) {
                const auto choice = it.pick(at(ms));
                if (!choice.it) {
                    ++total;
                    continue;
                }
                picked = static_cast<std::size_t>(std::stoi(choice.it->entry.id.substr(1)));
            }
            const double knee = ends[picked].size() + 1 > 3 ? 1.7 : 1;
            const double queue = std::max(0.0, static_cast<double>(ends[picked].size()) - 3) / 4;
            const double duration_ms = work_ms * slow[picked] * knee * (1 + queue);
            ends[picked].push_back(ms + static_cast<std::int64_t>(duration_ms));
            std::sort(ends[picked].begin(), ends[picked].end());
            it.loads.sent(it.number("u" + std::to_string(picked)));
            ++total;
            in_time += duration_ms <= target_ms ? 1 : 0;
        }
        return static_cast<double>(in_time) / total;
    };
    const double random = simulate(0);
    const double least = simulate(1);
    const double chosen = simulate(2);
    MESSAGE("on time: random ", random, ", least in flight ", least, ", choose_upstream ", chosen);
    CHECK(chosen > least);
    CHECK(chosen > random);
    CHECK(chosen >= 0.9); // share of the requests; a third of the upstreams is slow at any time
}

} // namespace berylcrank
