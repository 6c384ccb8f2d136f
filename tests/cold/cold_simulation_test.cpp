#include "tests/cold/cold_simulation.h"

#include <cstdlib>
#include <doctest/doctest.h>

namespace berylcrank {

namespace {

// Sanitizer builds are about 20 times slower and look for memory errors and races, not for rare schedules.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool is_sanitized = true;
#else
constexpr bool is_sanitized = false;
#endif
constexpr std::uint64_t seed_count = is_sanitized ? 75 : 1500;

std::uint64_t first_seed() {
    const char* text = std::getenv("BERYLCRANK_SEED"); // NOLINT(concurrency-mt-unsafe): one thread
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

/** Seeds until a violation is found; 0 if none of `count` finds one. */
std::uint64_t seeds_to_violation(cold_simulation::options it, std::uint64_t count) {
    for (std::uint64_t i = 1; i <= count; ++i) {
        it.seed = i;
        cold_simulation world{it};
        world.run();
        if (!world.violation.empty()) {
            return i;
        }
    }
    return 0;
}

} // namespace

// Guards the bound on requests at a cold process against every mix of the faults in cold_simulation.
TEST_CASE("cold admission, random faults, keeps the bound and still serves") {
    std::uint64_t answered = 0;
    std::uint64_t changes = 0;
    for (auto seed = first_seed(); seed < first_seed() + seed_count; ++seed) {
        cold_simulation world{{.seed = seed}};
        world.run();
        INFO("seed ", seed);
        REQUIRE(world.violation == "");
        answered += world.answered;
        changes += world.holder_changes;
    }
    MESSAGE(answered, " answers, ", changes, " holder changes in ", seed_count, " seeds");
    CHECK(answered > seed_count * 20);
    CHECK(changes > seed_count);
}

// Guards against a check that finds nothing: each fault put into the nodes must break the bound.
TEST_CASE("cold admission, faulty nodes, breaks the bound") {
    if (is_sanitized) {
        return; // Whether the check can fail does not depend on sanitizers; up to 6,000 seeds are too slow
                // there.
    }
    constexpr std::uint64_t enough = 1000;
    CHECK(seeds_to_violation({.ignores_check = true}, enough) > 0);
    CHECK(seeds_to_violation({.confirms_always = true}, enough) > 0);
    CHECK(seeds_to_violation({.trusts_refusal = true}, 6 * enough) > 0); // The rarest of them.
    CHECK(seeds_to_violation({.skips_wait = true}, enough) > 0);
    CHECK(seeds_to_violation({.trusts_ports = true}, enough) > 0);
    CHECK(seeds_to_violation({.has_no_run_limit = true}, enough) > 0);
}

// Guards against holders that stop in a log outage, with which all new connections would stop.
TEST_CASE("cold admission, restart during a long log outage, becomes warm again") {
    cold_simulation world{{.seed = 3, .has_faults = false, .has_outage = true}};
    world.run();
    CHECK(world.violation == "");
    CHECK(world.warm_at.has_value());
}

TEST_CASE("cold admission, entirely cold pool without faults, becomes warm") {
    cold_simulation world{{.seed = 7, .has_faults = false}};
    world.run();
    CHECK(world.violation == "");
    CHECK(world.warm_at.has_value());
}

} // namespace berylcrank
