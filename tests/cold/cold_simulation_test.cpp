#include "tests/cold/cold_simulation.h"

#include <cstdlib>
#include <doctest/doctest.h>

namespace berylcrank {

namespace {

// Sanitizer builds are about 20 times slower and detect memory errors and data races, not rare schedules.
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

/** Number of seeds tried until one finds a violation; 0 if none of `count` seeds does. */
std::uint64_t seeds_to_violation(cold_simulation::options opts, std::uint64_t count) {
    for (std::uint64_t i = 1; i <= count; ++i) {
        opts.seed = i;
        cold_simulation simulation{opts};
        simulation.run();
        if (!simulation.violation.empty()) {
            return i;
        }
    }
    return 0;
}

} // namespace

// Guards against more requests at a cold process than the bound, under random combinations of faults.
TEST_CASE("cold admission, random faults, keeps the bound and serves requests") {
    std::uint64_t responses = 0;
    std::uint64_t holder_changes = 0;
    for (auto seed = first_seed(); seed < first_seed() + seed_count; ++seed) {
        cold_simulation simulation{{.seed = seed}};
        simulation.run();
        INFO("seed ", seed);
        REQUIRE(simulation.violation == "");
        responses += simulation.responses;
        holder_changes += simulation.holder_changes;
    }
    MESSAGE(responses, " responses, ", holder_changes, " holder changes in ", seed_count, " seeds");
    CHECK(responses > seed_count * 20);
    CHECK(holder_changes > seed_count);
}

// Guards against a check that detects nothing: each fault injected into the nodes must violate the bound.
TEST_CASE("cold admission, faulty nodes, violates the bound") {
    if (is_sanitized) {
        return; // Sanitizers do not affect the result, and up to 6,000 seeds take too long with them.
    }
    constexpr std::uint64_t max_seeds = 1000;
    CHECK(seeds_to_violation({.ignores_check = true}, max_seeds) > 0);
    CHECK(seeds_to_violation({.confirms_always = true}, max_seeds) > 0);
    CHECK(seeds_to_violation({.treats_outage_as_log_end = true}, 6 * max_seeds) > 0); // The rarest violation.
    CHECK(seeds_to_violation({.skips_holder_wait = true}, max_seeds) > 0);
    CHECK(seeds_to_violation({.hides_new_connections = true}, max_seeds) > 0);
    CHECK(seeds_to_violation({.has_no_run_limit = true}, max_seeds) > 0);
}

// Guards against holders that stop issuing in a log outage, so that no new connection can be used.
TEST_CASE("cold admission, restart during a long log outage, becomes warm again") {
    cold_simulation simulation{{.seed = 3, .has_faults = false, .has_outage = true}};
    simulation.run();
    CHECK(simulation.violation == "");
    CHECK(simulation.warm_at.has_value());
}

TEST_CASE("cold admission, cold pool without faults, becomes warm") {
    cold_simulation simulation{{.seed = 7, .has_faults = false}};
    simulation.run();
    CHECK(simulation.violation == "");
    CHECK(simulation.warm_at.has_value());
}

} // namespace berylcrank
