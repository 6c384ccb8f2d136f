#include "modules/berylcrank_routing/probe/probe_budget.h"

#include <doctest/doctest.h>

#include <deque>
#include <vector>

namespace berylcrank {

// Guards against probes of all nodes that together exceed the budget of an upstream, whatever peers a node
// knows and however often nodes restart.
TEST_CASE("probe_budget, 17 nodes with random restarts, never exceeds the budget in any window") {
    constexpr std::uint32_t nodes = 17;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        seeded_random random(seed);
        const double percent = 0.5 + random.unit() * 2;
        const probe_budget::options options{.percent = percent, .max_nodes = nodes, .cost = millis{6}};
        std::vector<probe_budget> all;
        for (std::uint32_t n = 0; n < nodes; ++n) {
            all.emplace_back(options, random, instant{});
        }
        const auto window = all[0].interval(options.cost);
        std::deque<instant> started;
        std::size_t total = 0;
        for (std::int64_t ms = 0; ms < 60000; ms += 5) {
            const instant now{millis{ms}};
            const auto n = random.below(nodes); // random activity: some nodes probe rarely
            if (random.below(2000) == 0) {
                all[n] = probe_budget(options, random, now);
            }
            if (all[n].try_start(now)) {
                started.push_back(now);
                ++total;
                all[n].on_done(millis{static_cast<std::int64_t>(random.below(7))});
            }
            while (!started.empty() && now - started.front() >= window) {
                started.pop_front();
            }
            const double cost_ms = static_cast<double>(started.size()) * options.cost.value();
            CHECK(cost_ms <= window.value() * percent / 100 + 1e-6);
        }
        CHECK(total > 0);
    }
}

TEST_CASE("probe_budget, probe slower than assumed, extends the interval in proportion") {
    seeded_random random(1);
    probe_budget subject({.percent = 10, .max_nodes = 1, .cost = millis{6}}, random, instant{});
    const instant start{millis{1000}};
    REQUIRE(subject.try_start(start));
    CHECK_FALSE(subject.try_start(start + millis{500})); // still running
    subject.on_done(millis{30});
    CHECK_FALSE(subject.is_due(start + millis{300}));
    CHECK(subject.is_due(start + millis{300} + millis::from_micros(1)));
    CHECK(subject.charged() == millis{30});
}

TEST_CASE("probe_budget, zero or new share, does not probe at once") {
    seeded_random random(1);
    probe_budget subject({.percent = 0}, random, instant{});
    CHECK_FALSE(subject.try_start(instant{millis{1000000}}));
    subject.set_percent(10, instant{millis{1000000}});
    CHECK_FALSE(subject.try_start(instant{millis{1000000}}));
    CHECK(subject.try_start(instant{millis{1002000}}));
}

} // namespace berylcrank
