#include "tests/support/platform_deployment.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <stop_token>
#include <thread>
#include <vector>

namespace berylcrank::testing {

namespace {

constexpr int limit = 12; // 5 x 1.5 + 5 requests per second, all nodes together

/** Three nodes whose upstreams become cold, and callers that send lookups without a break. */
struct gateway_cold_fixture {
    platform_deployment subject{3, 2};
    std::atomic<int> ids{0};
    std::atomic<int> served{0};
    std::vector<std::jthread> callers; // last, so that they end before what they use

    /** Starts callers that use the node at `front` until stop_callers() or until it accepts no connection. */
    void start_callers(const std::string& front, int n) {
        for (int k = 0; k < n; ++k) {
            callers.emplace_back([this, front](const std::stop_token& stop) {
                while (!stop.stop_requested()) {
                    const auto response = platform_deployment::request({.front = front}, "GET", "/l/a",
                                                                       "cold-" + std::to_string(++ids));
                    served += response.status == 200 ? 1 : 0;
                    if (!response.is_connected) {
                        return;
                    }
                }
            });
        }
    }

    void stop_callers() {
        for (auto& it : callers) {
            it.request_stop();
        }
        callers.clear();
    }

    static int peak(const platform_worker& it) {
        return std::stoi(send({.address = it.address, .path = "/peak"}).body);
    }

    /** Makes the upstreams of lookups cold for a minute. */
    void cool_workers() {
        for (const auto* it : subject.workers_of("lookups")) {
            subject.configure_worker(*it, "warm-up=60000");
        }
    }

    /** Registers a later start of a worker, cold for a minute, and waits until all nodes know it. */
    void register_cold_start(const platform_worker& worker, int start) {
        const auto value =
            R"({"service":"lookups","address":")" + worker.address +
            R"(","zone":"north","version":"v1","slots":4,"state":"ready","warmup-left-s":60,)" +
            R"("sequence":1,"born":)" + std::to_string(1700000000000 + start) + "}";
        subject.put_record("keyed.servers", worker.id, value);
        for (const auto& it : subject.nodes()) {
            it.process->wait_line("\"upstream\":\"" + worker.id +
                                  "\",\"service\":\"lookups\",\"address\":\"" + worker.address +
                                  "\",\"draining\":false,\"cold_ms\":60000");
        }
    }
};

} // namespace

// Guards against full load from a node that continues after a pause, in which the upstreams became cold.
TEST_CASE_FIXTURE(gateway_cold_fixture,
                  "gateway, upstreams become cold while a node is paused, limit holds after the pause") {
    auto& paused = subject.nodes().front();
    for (int n = 0; n < 10; ++n) {
        CHECK(platform_deployment::request(paused, "GET", "/l/a", "before-" + std::to_string(n)).status ==
              200);
    }
    const auto& files = *subject.workers_of("files")[0];
    const auto& other_files = *subject.workers_of("files")[1];
    subject.configure_worker(files, "work=500");
    subject.configure_worker(other_files, "work=500");
    paused.process->send(SIGSTOP);
    // Five downloads of 0.5 s each at another node last longer than the shortest pause that a node detects.
    for (int n = 0; n < 5; ++n) {
        CHECK(platform_deployment::request(subject.nodes()[1], "GET", "/f/a", "pace-" + std::to_string(n))
                  .status == 200);
    }
    cool_workers();
    start_callers(paused.front, 8);
    paused.process->send(SIGCONT);
    paused.process->wait_line("\"event\":\"paused\"");
    for (int n = 5; n < 9; ++n) {
        CHECK(platform_deployment::request(subject.nodes()[1], "GET", "/f/a", "pace-" + std::to_string(n))
                  .status == 200);
    }
    stop_callers();
    for (const auto* it : subject.workers_of("lookups")) {
        CHECK(peak(*it) <= limit);
    }
}

// Guards against callers that wait after a pause although the upstreams have stayed warm.
TEST_CASE_FIXTURE(gateway_cold_fixture,
                  "gateway, node is paused while all upstreams are warm, serves at once") {
    auto& paused = subject.nodes().front();
    for (const auto* it : subject.workers_of("files")) {
        subject.configure_worker(*it, "work=500");
    }
    paused.process->send(SIGSTOP);
    for (int n = 0; n < 5; ++n) {
        CHECK(platform_deployment::request(subject.nodes()[1], "GET", "/f/a", "pace-" + std::to_string(n))
                  .status == 200);
    }
    paused.process->send(SIGCONT);
    paused.process->wait_line("\"event\":\"paused\"");
    for (int n = 0; n < 30; ++n) {
        CHECK(platform_deployment::request(paused, "GET", "/l/a", "after-" + std::to_string(n)).status ==
              200);
    }
}

// Guards against more than two nodes that admit to a cold upstream while nodes are stopped and started in
// turn: a stopping node still answers callers when the next one stops.
TEST_CASE_FIXTURE(
    gateway_cold_fixture,
    "gateway, nodes restart in turn while upstreams come back cold, limit holds in each second") {
    constexpr std::size_t restarts = 3;
    const auto workers = subject.workers_of("lookups");
    cool_workers();
    register_cold_start(*workers[0], 1000);
    register_cold_start(*workers[1], 2000);
    cool_workers(); // Counts from here.
    for (const auto& it : subject.nodes()) {
        start_callers(it.front, 4);
    }
    wait_until("callers are served", [&] { return served > 0; });
    for (std::size_t n = 0; n < restarts; ++n) {
        subject.nodes()[n].process->send(SIGTERM);
        platform_deployment::wait_ready(subject.start_node());
        start_callers(subject.nodes().back().front, 4);
    }
    for (std::size_t n = 0; n < restarts; ++n) {
        CHECK(subject.nodes()[n].process->wait_exit(7000) == 0);
    }
    const int before = served;
    wait_until("callers are served again", [&] { return served > before; });
    stop_callers();
    for (const auto* it : workers) {
        CHECK(peak(*it) > 0);
        CHECK(peak(*it) <= limit);
    }
}

} // namespace berylcrank::testing
