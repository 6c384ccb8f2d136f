#include "tests/node/order_simulation.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

namespace berylcrank::testing {

namespace {

std::string lines_of(const order_simulation& simulation) {
    std::string out;
    for (const auto& it : simulation.events) {
        out += it + "\n";
    }
    return out;
}

/** Compares the events of a session with tests/golden/<name>.txt. BERYLCRANK_WRITE_GOLDEN=1 writes the file
    instead. */
void check_golden(const std::string& name, const std::function<void(order_simulation&)>& session) {
    const auto path = std::string(BERYLCRANK_SOURCE_DIR "/tests/golden/") + name + ".txt";
    for (int n = 0; n < 50; ++n) {
        order_simulation simulation{{.seed = 7, .nodes = 2}};
        session(simulation);
        const auto text = lines_of(simulation);
        if (n == 0 && std::getenv("BERYLCRANK_WRITE_GOLDEN") != nullptr) {
            std::ofstream{path} << text;
        }
        std::ostringstream expected;
        expected << std::ifstream{path}.rdbuf();
        REQUIRE(text == expected.str());
    }
}

} // namespace

// Guards against unintended changes of what callers and upstreams see during an order.
TEST_CASE("order session, retried and relayed, equals the golden file") {
    check_golden("order_session", [](order_simulation& simulation) {
        simulation.behaviors = {upstream_behavior::shed, upstream_behavior::good};
        const auto id = simulation.mint(0);
        simulation.send(0, id);
        simulation.send(1, id);
        simulation.run_all();
        simulation.send(1, id, "other content");
        simulation.run_all();
        simulation.behaviors = {upstream_behavior::reset_after};
        const auto lost = simulation.mint(1, 2);
        simulation.send(0, lost);
        simulation.run_all();
        simulation.restart(1);
        simulation.send(0, lost);
        simulation.run_all();
    });
}

TEST_CASE("order session, random faults from a seed, equals the golden file") {
    check_golden("order_faults", [](order_simulation& simulation) {
        simulation.is_random = true;
        for (int n = 1; n <= 12; ++n) {
            const auto id = simulation.mint(simulation.random.below(2), n);
            simulation.send(0, id);
            simulation.send(1, id);
            while (simulation.has_steps()) {
                simulation.run_random_step();
            }
            simulation.advance(millis{50});
        }
    });
}

} // namespace berylcrank::testing
