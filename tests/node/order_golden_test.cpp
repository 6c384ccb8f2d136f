#include "tests/node/order_world.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

namespace berylcrank::testing {

namespace {

std::string lines_of(const order_world& world) {
    std::string out;
    for (const auto& it : world.events) {
        out += it + "\n";
    }
    return out;
}

/** Compares with tests/golden/<name>.txt; BERYLCRANK_WRITE_GOLDEN=1 writes it instead. */
void check_golden(const std::string& name, const std::function<void(order_world&)>& session) {
    const auto path = std::string(BERYLCRANK_SOURCE_DIR "/tests/golden/") + name + ".txt";
    for (int n = 0; n < 50; ++n) {
        order_world world{{.seed = 7, .nodes = 2}};
        session(world);
        const auto text = lines_of(world);
        if (n == 0 && std::getenv("BERYLCRANK_WRITE_GOLDEN") != nullptr) {
            std::ofstream{path} << text;
        }
        std::ostringstream wanted;
        wanted << std::ifstream{path}.rdbuf();
        REQUIRE(text == wanted.str());
    }
}

} // namespace

// Guards against unnoticed changes of what callers and upstreams see during an order.
TEST_CASE("order session, retried and relayed, is the golden one") {
    check_golden("order_session", [](order_world& world) {
        world.moods = {upstream_mood::shed, upstream_mood::good};
        const auto id = world.mint(0);
        world.send(0, id);
        world.send(1, id);
        world.run_all();
        world.send(1, id, "other content");
        world.run_all();
        world.moods = {upstream_mood::reset_after};
        const auto lost = world.mint(1, 2);
        world.send(0, lost);
        world.run_all();
        world.restart(1);
        world.send(0, lost);
        world.run_all();
    });
}

TEST_CASE("order session, random faults from a seed, is the golden one") {
    check_golden("order_faults", [](order_world& world) {
        world.is_random = true;
        for (int n = 1; n <= 12; ++n) {
            const auto id = world.mint(world.random.below(2), n);
            world.send(0, id);
            world.send(1, id);
            while (world.has_steps()) {
                world.run_random_step();
            }
            world.advance(millis{50});
        }
    });
}

} // namespace berylcrank::testing
