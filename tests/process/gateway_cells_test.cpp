#include "tests/support/platform_deployment.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

/** Nodes of more than one cell, so that most of them exchange no load messages. Node n is in the failure
   domain number (n + 1) modulo `domains`. */
struct gateway_cells_fixture {
    static constexpr int domains = 4;
    static constexpr int workers = 6;

    platform_deployment subject{28, workers, domains};
    int ids{0};

    gateway_cells_fixture() {
        for (const auto* it : subject.workers_of("orders")) {
            platform_deployment::configure_worker(*it, "crash=/o/poison");
        }
    }

    test_response send_order(const platform_node& node, const std::string& path) {
        return platform_deployment::request(node, "POST", path, "c-" + std::to_string(++ids), "x");
    }

    int crashed() {
        const auto all = subject.workers_of("orders");
        return static_cast<int>(std::ranges::count_if(all, [](const auto* it) {
            return !send({.address = it->address, .path = "/runs"}).is_connected;
        }));
    }
};

} // namespace

// Guards against a request that has its own crashes in each cell of a large deployment, because a cell hears
// of the suspects of others only when these refuse them.
TEST_CASE_FIXTURE(gateway_cells_fixture,
                  "gateway, order crashes an upstream at one node of each cell, is refused at all nodes") {
    constexpr int crashes_allowed = 3;
    for (auto& node : subject.nodes()) {
        wait_until(node.name + " knows the others", [&] {
            return platform_deployment::level(node, "live_nodes") >=
                   static_cast<double>(subject.nodes().size());
        });
    }
    for (std::size_t n = 0; n < crashes_allowed; ++n) { // one in each failure domain but one
        CHECK(send_order(subject.nodes()[n], "/o/poison").status == 502);
        const auto losses = platform_deployment::level(subject.nodes()[n], "suspect_losses");
        for (auto& node : subject.nodes()) {
            wait_until(node.name + " has heard of the crash",
                       [&] { return platform_deployment::level(node, "suspect_losses") >= losses; });
        }
    }
    for (auto& node : subject.nodes()) {
        CHECK(send_order(node, "/o/poison").status == 503);
    }
    CHECK(crashed() == crashes_allowed);
    CHECK(send_order(subject.nodes().back(), "/o/a").status == 200);
}

} // namespace berylcrank::testing
