#include "modules/berylcrank_balance/peers/registration_policy.h"

#include <doctest/doctest.h>

namespace berylcrank {

namespace {

struct registration_fixture {
    registration_inputs in{
        .since_start = millis{40}, .store_writes_per_second = large_deployment_writes + 1, .has_seeds = true};
};

} // namespace

// A start of all nodes must not write one entry per node, and nodes without seeds must find each other.
TEST_CASE_FIXTURE(registration_fixture, "should_register, start with seeds, only the seeds register") {
    CHECK_FALSE(should_register(in));
    in.is_seed = true;
    CHECK(should_register(in));
    CHECK(should_register({.has_seeds = false}));
}

// Nodes of a small deployment must not wait for seeds that start later.
TEST_CASE_FIXTURE(registration_fixture, "should_register, small deployment, every node registers at once") {
    in.store_writes_per_second = large_deployment_writes;
    in.since_start = millis{};
    CHECK(should_register(in));
}

// A node whose seeds are all down must become visible to the others, which look for it in the same list.
TEST_CASE_FIXTURE(registration_fixture, "should_register, no seed answers, registers after the timeout") {
    in.since_start = seed_timeout;
    CHECK(should_register(in));
    in.heard_peer = true;
    CHECK_FALSE(should_register(in));
}

// The list must not become empty of live nodes when registered ones are replaced.
TEST_CASE_FIXTURE(registration_fixture,
                  "should_register, registered nodes are gone, the first others register") {
    in.heard_peer = true;
    in.since_start = registration_settle_time;
    in.live_registered = 1;
    for (std::size_t rank = 0; rank < 5; ++rank) {
        in.rank = rank;
        CHECK(should_register(in) == (rank < min_registered_nodes - 1));
    }
    in.live_registered = min_registered_nodes;
    in.rank = 0;
    CHECK_FALSE(should_register(in));
}

} // namespace berylcrank
