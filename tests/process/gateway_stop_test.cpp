#include "tests/support/platform_deployment.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <mutex>
#include <thread>

namespace berylcrank::testing {

namespace {

/** Two nodes, of which the first is stopped while callers use it. */
struct gateway_stop_fixture {
    using outcomes_by_id = std::vector<std::pair<std::string, test_response>>;

    platform_deployment subject{2, 2};
    platform_node& stopping{subject.nodes().front()};

    /** Runs callers that each send one lookup after the other until the node accepts no connection. Returns
        what they got, by request id. */
    outcomes_by_id send_lookups(int callers) {
        std::mutex mutex;
        outcomes_by_id result;
        std::vector<std::thread> threads;
        for (int k = 0; k < callers; ++k) {
            threads.emplace_back([&, k] {
                for (int n = 0;; ++n) {
                    const auto id = "stop-" + std::to_string(k) + "-" + std::to_string(n);
                    const auto response = platform_deployment::request(stopping, "GET", "/l/a", id);
                    if (!response.is_connected) {
                        return;
                    }
                    const std::lock_guard lock(mutex);
                    result.emplace_back(id, response);
                }
            });
        }
        for (auto& it : threads) {
            it.join();
        }
        return result;
    }
};

} // namespace

// Guards against requests that are cut off because they arrive in the moment in which a stopping node exits.
TEST_CASE_FIXTURE(gateway_stop_fixture,
                  "gateway, stopped while callers keep connecting, answers every request that it reads") {
    stopping.process->send(SIGTERM);
    const auto outcomes = send_lookups(8);
    CHECK(stopping.process->wait_exit(7000) == 0);
    const auto answered =
        std::ranges::count_if(outcomes, [](const auto& it) { return it.second.is_complete; });
    CHECK(answered > 100);
    // The kernel resets a connection that is established while the listener closes. Its request was not read.
    CHECK(static_cast<std::ptrdiff_t>(outcomes.size()) - answered <= 1);
    for (const auto& [id, response] : outcomes) {
        if (!response.is_complete) {
            CHECK(subject.execution_count(id) == 0);
            CHECK(stopping.process->output().find(id) == std::string::npos);
        }
    }
}

// Guards against requests that a stopping node accepts too late to complete: they are cut off by its exit,
// and an order among them may have run.
TEST_CASE_FIXTURE(gateway_stop_fixture,
                  "gateway, stopped while orders queue at slow upstreams, cuts off none of them") {
    const std::string route =
        R"({"name":"slow","path-prefix":"/slow/","kind":"unsafe","timeout-s":10,"target-latency-s":8,)"
        R"("max-attempts":2,"priority":1,"service":"orders"},)";
    subject.put_operator_record("config", platform_deployment::config(2, route));
    stopping.process->wait_line("\"event\":\"config-applied\",\"version\":2");
    for (const auto* worker : subject.workers_of("orders")) {
        subject.configure_worker(*worker, "work=1500");
    }
    for (const auto* worker : subject.workers_of("lookups")) {
        subject.configure_worker(*worker, "work=50");
    }
    std::mutex mutex;
    outcomes_by_id outcomes;
    std::vector<std::thread> callers;
    std::atomic<bool> is_listening{true};
    stopping.process->send(SIGTERM);
    // One order is sent with each response to a lookup of 50 ms at the other node.
    for (int n = 0; is_listening; ++n) {
        callers.emplace_back([&, n] {
            const auto id = "order-" + std::to_string(n);
            const auto response = send({.address = stopping.front,
                                        .method = "POST",
                                        .path = "/slow/a",
                                        .headers = {{"Host", "shop.example"}, {"Request-Id", id}},
                                        .body = "x"});
            if (!response.is_connected) {
                is_listening = false;
                return;
            }
            const std::lock_guard lock(mutex);
            outcomes.emplace_back(id, response);
        });
        const auto paced =
            platform_deployment::request(subject.nodes()[1], "GET", "/l/a", "pace-" + std::to_string(n));
        REQUIRE(paced.status == 200);
    }
    for (auto& it : callers) {
        it.join();
    }
    CHECK(stopping.process->wait_exit(7000) == 0);
    int answered = 0;
    for (const auto& [id, response] : outcomes) {
        CAPTURE(id);
        CHECK(response.is_complete);
        answered += response.status == 200 ? 1 : 0;
        if (response.status == 503) {
            CHECK(subject.execution_count(id) == 0);
        }
    }
    CHECK(answered > 4);
}

} // namespace berylcrank::testing
