#include "tests/support/platform_deployment.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

namespace berylcrank::testing {

namespace {

/** Two nodes in front of upstreams that end when they begin to run a request for `/l/poison` or `/o/poison`.
 */
struct gateway_crash_fixture {
    static constexpr int workers = 6;
    /** Crashes after which a request is refused. */
    static constexpr int crashes_allowed = 3;

    platform_deployment subject{2, workers};
    int ids{0};

    gateway_crash_fixture() {
        for (auto& it : subject.workers()) {
            subject.configure_worker(it, it.service == "orders" ? "crash=/o/poison" : "crash=/l/poison");
        }
    }

    test_response send_to(const platform_node& node, const std::string& method, const std::string& path) {
        return platform_deployment::request(node, method, path, "c-" + std::to_string(++ids), "x");
    }

    // Sends a lookup from the loopback address number `address`.
    test_response send_from(int address, const platform_node& node, const std::string& path) {
        return send({.address = node.front,
                     .path = path,
                     .headers = {{"Host", "shop.example"},
                                 {"Request-Id", "c-" + std::to_string(++ids)},
                                 {"Request-Timeout-Ms", "1500"}},
                     .from = "127.0.0." + std::to_string(address)});
    }

    // Waits until both nodes know the same losses, at least one.
    void wait_until_shared() {
        wait_until("the nodes have told each other", [&] {
            const auto losses = platform_deployment::level(subject.nodes()[0], "suspect_losses");
            return losses > 0 && losses == platform_deployment::level(subject.nodes()[1], "suspect_losses");
        });
    }

    int crashed(const std::string& service) {
        const auto all = subject.workers_of(service);
        return static_cast<int>(std::ranges::count_if(all, [](const auto* it) {
            return !send({.address = it->address, .path = "/runs"}).is_connected;
        }));
    }

    // Number of successful health checks that a node has made.
    static double healthy_probes(const platform_node& node) {
        const auto text = send({.address = node.control, .path = "/metrics"}).body;
        const auto at = text.find("berylcrank_probes_total{result=\"healthy\"} ");
        return at == std::string::npos ? 0 : std::stod(text.substr(text.find(' ', at)));
    }

    // Waits until the nodes know each other, so that each upstream has one node that probes it, and until
    // that node has probed it again on the same connection.
    void wait_for_steady_probes() {
        for (const auto& node : subject.nodes()) {
            wait_until("the node knows the other",
                       [&] { return platform_deployment::level(node, "live_nodes") == 2; });
        }
        std::vector<double> before;
        for (const auto& node : subject.nodes()) {
            before.push_back(healthy_probes(node));
        }
        for (std::size_t n = 0; n < before.size(); ++n) {
            wait_until("the node has probed its upstreams repeatedly", [&] {
                const auto upstreams = static_cast<double>(subject.workers().size());
                return healthy_probes(subject.nodes()[n]) - before[n] >= 3 * upstreams;
            });
        }
    }

    // Sends a request to the nodes in turn, `times` times in all. Returns the responses.
    std::vector<test_response> repeat(const std::string& method, const std::string& path, int times) {
        std::vector<test_response> result;
        for (int n = 0; n < times; ++n) {
            const auto& node = subject.nodes()[static_cast<std::size_t>(n) % 2];
            result.push_back(send_to(node, method, path));
            wait_until_shared();
        }
        return result;
    }
};

} // namespace

// Guards against a request that its caller repeats, under a new id and at any node, until it has crashed
// every upstream, and against losing the orders and lookups of others on them.
TEST_CASE_FIXTURE(gateway_crash_fixture,
                  "gateway, lookup crashes each upstream that runs it, is refused and others are served") {
    const auto responses = repeat("GET", "/l/poison", 6);
    CHECK(crashed("lookups") <= crashes_allowed);
    CHECK(responses.back().status == 503);
    wait_until("the refusal lasts, since no crashed upstream has responded", [&] {
        const auto response = send_to(subject.nodes().front(), "GET", "/l/poison");
        CHECK(response.status == 503);
        return response.status != 503 || std::stod(response.header("Retry-After")) > 1;
    });
    CHECK(crashed("lookups") <= crashes_allowed);
    for (int n = 0; n < 10; ++n) {
        CHECK(send_to(subject.nodes()[static_cast<std::size_t>(n) % 2], "GET", "/l/a").status == 200);
    }
    CHECK(platform_deployment::level(subject.nodes()[1], "suspect_false_refusals") <= 0);
}

// Guards against a request that has its own crashes for each address that it comes from.
TEST_CASE_FIXTURE(
    gateway_crash_fixture,
    "gateway, lookup that crashes upstreams comes from many addresses, is refused to all of them") {
    for (int address = 1; address <= 6; ++address) {
        send_from(address, subject.nodes()[static_cast<std::size_t>(address) % 2], "/l/poison");
        wait_until_shared();
    }
    CHECK(crashed("lookups") <= crashes_allowed);
    CHECK(send_from(7, subject.nodes().front(), "/l/poison").status == 503);
    CHECK(send_from(7, subject.nodes().front(), "/l/a").status == 200);
}

// Guards against forgetting crashes because the upstreams start again under their ids and respond before
// their new registrations arrive.
TEST_CASE_FIXTURE(gateway_crash_fixture,
                  "gateway, crashed upstreams start again under their ids, the lookup stays refused") {
    repeat("GET", "/l/poison", 4);
    std::vector<std::string> restarted;
    for (auto* it : subject.workers_of("lookups")) {
        if (!send({.address = it->address, .path = "/runs"}).is_connected) {
            platform_deployment::restart_worker(*it);
            platform_deployment::configure_worker(*it, "crash=/l/poison");
            restarted.push_back(it->id);
        }
    }
    REQUIRE(restarted.size() == crashes_allowed);
    for (const auto& node : subject.nodes()) {
        for (const auto& id : restarted) {
            wait_until("the node gets responses of " + id,
                       [&] { return send_to(node, "GET", "/l/a").header("Server-Signature") == id; });
        }
    }
    for (int n = 0; n < 4; ++n) {
        CHECK(send_to(subject.nodes()[static_cast<std::size_t>(n) % 2], "GET", "/l/poison").status == 503);
    }
    CHECK(crashed("lookups") == 0);
}

// Guards against a request that must not be repeated and that its caller sends anew after each failure.
TEST_CASE_FIXTURE(gateway_crash_fixture,
                  "gateway, order crashes each upstream that runs it, is refused and others are served") {
    const auto responses = repeat("POST", "/o/poison", 6);
    CHECK(responses.front().status == 502); // it may have run
    CHECK(crashed("orders") <= crashes_allowed);
    CHECK(responses.back().status == 503);
    for (int n = 0; n < 10; ++n) {
        CHECK(send_to(subject.nodes()[static_cast<std::size_t>(n) % 2], "POST", "/o/a").status == 200);
    }
}

// Guards against counting copies that overlap as one crash: a request that crashes upstreams late in its run
// would be sent to many more in the meantime.
TEST_CASE_FIXTURE(gateway_crash_fixture,
                  "gateway, copies of an order overlap and crash upstreams one by one, is refused") {
    constexpr std::chrono::milliseconds crash_interval{1500};
    constexpr auto* route =
        R"({"name":"slow","path-prefix":"/slow/","kind":"unsafe","timeout-s":30,"max-attempts":1,)"
        R"("target-latency-s":20,"priority":1,"service":"orders"},)";
    subject.put_operator_record("config", platform_deployment::config(2, route));
    for (const auto& node : subject.nodes()) {
        wait_until("the route is in force", [&] { return send_to(node, "POST", "/slow/a").status == 200; });
    }
    const auto orders = subject.workers_of("orders");
    for (const auto* it : orders) {
        subject.configure_worker(*it, "mode=mute");
    }
    std::vector<std::jthread> callers; // joined also if a wait fails
    for (std::size_t n = 0; n < orders.size(); ++n) {
        const auto id = "slow-" + std::to_string(n);
        callers.emplace_back([&, n, id] {
            const test_request copy{
                .address = subject.nodes()[n % 2].front,
                .method = "POST",
                .path = "/slow/poison",
                .headers = {{"Host", "shop.example"}, {"Request-Id", id}, {"Request-Timeout-Ms", "30000"}},
                .body = "x",
                .timeout_ms = 30000};
            while (send(copy).status == 503 && subject.execution_count(id) == 0) {
                // Refused by a node that has just started.
            }
        });
        wait_until("an upstream runs it", [&] { return subject.execution_count(id) == 1; });
    }
    int killed = 0;
    for (const auto* it : orders) {
        const auto runs = send({.address = it->address, .path = "/runs"}).body;
        if (killed == crashes_allowed || runs.find("slow-") == std::string::npos) {
            continue;
        }
        ++killed;
        it->process->send(SIGKILL);
        const auto next = std::chrono::steady_clock::now() + crash_interval;
        wait_until("the nodes know of the crash", [&] {
            return std::ranges::all_of(subject.nodes(), [&](const auto& node) {
                return platform_deployment::level(node, "suspect_losses") >=
                       2 * killed; // two entries for each request
            });
        });
        wait_until("the next crash is clearly later",
                   [&] { return std::chrono::steady_clock::now() >= next; });
    }
    CHECK(killed == crashes_allowed);
    for (const auto& node : subject.nodes()) {
        CHECK(send_to(node, "POST", "/slow/poison").status == 503);
    }
    for (const auto* it : orders) {
        it->process->send(SIGKILL);
    }
}

// Guards against a request that silences upstreams without end because its caller leaves at its own time
// limit, which ends a little before the node's.
TEST_CASE_FIXTURE(gateway_crash_fixture,
                  "gateway, request silences upstreams and its caller leaves at its limit, is refused") {
    constexpr long limit_ms = 700;
    constexpr double min_refusal_s = 10; // of a suspect; a lack of upstreams is shorter
    for (const auto* it : subject.workers_of("orders")) {
        subject.configure_worker(*it, "hang=/o/silent");
    }
    for (const auto* it : subject.workers_of("lookups")) {
        subject.configure_worker(*it, "hang=/l/silent");
    }
    for (const auto& [method, path] : {std::pair("POST", "/o/silent"), std::pair("GET", "/l/silent")}) {
        const auto send_copy = [&] {
            return send({.address = subject.nodes().front().front,
                         .method = method,
                         .path = path,
                         .headers = {{"Host", "shop.example"},
                                     {"Request-Id", "s-" + std::to_string(++ids)},
                                     {"Request-Timeout-Ms", std::to_string(limit_ms)}},
                         .body = "x",
                         .timeout_ms = limit_ms - 20});
        };
        for (int n = 0; n < crashes_allowed; ++n) {
            CHECK(send_copy().status == 0);
        }
        wait_until("the refusal lasts, since no silent upstream has responded", [&] {
            const auto response = send_copy();
            CHECK(response.status == 503);
            return response.status != 503 || std::stod(response.header("Retry-After")) > min_refusal_s;
        });
    }
}

// Guards against a node that forgets by a restart which requests crash upstreams.
TEST_CASE_FIXTURE(gateway_crash_fixture,
                  "gateway, node has just started, refuses what crashed upstreams before") {
    repeat("GET", "/l/poison", 4);
    const auto before = crashed("lookups");
    subject.stop_and_remove(0);
    const auto& started = subject.start_node();
    platform_deployment::wait_ready(started);
    wait_until("the other node has told it",
               [&] { return platform_deployment::level(started, "suspects") != 0; });
    CHECK(send_to(started, "GET", "/l/poison").status == 503);
    CHECK(crashed("lookups") == before);
}

// Guards against refusing harmless requests because their connections were lost: when several upstreams crash
// at once, and when upstreams that go on running lose their responses.
TEST_CASE_FIXTURE(gateway_crash_fixture, "gateway, connections of harmless requests are lost, refuses none") {
    // Only connections from before a loss show that an upstream has survived it.
    wait_for_steady_probes();
    for (const auto* it : subject.workers_of("orders")) {
        subject.configure_worker(*it, "mode=reset");
    }
    for (int n = 0; n <= crashes_allowed; ++n) {
        CHECK(send_to(subject.nodes().front(), "POST", "/o/a").status == 502);
        wait_until("the upstream has responded to a probe", [&] {
            return platform_deployment::level(subject.nodes().front(), "suspect_losses") <= 0;
        });
    }
    std::vector<std::thread> callers;
    std::vector<int> statuses(8);
    for (const auto* it : subject.workers_of("files")) {
        subject.configure_worker(*it, "work=400");
    }
    for (auto& status : statuses) {
        callers.emplace_back([&, this] {
            status = platform_deployment::request(subject.nodes().front(), "GET", "/f/a",
                                                  "f-" + std::to_string(&status - statuses.data()))
                         .status;
        });
    }
    wait_until("all run", [&] {
        int running = 0;
        for (std::size_t n = 0; n < statuses.size(); ++n) {
            running += subject.execution_count("f-" + std::to_string(n));
        }
        return running == static_cast<int>(statuses.size());
    });
    for (std::size_t n = 0; n < 3; ++n) {
        subject.workers_of("files")[n]->process->send(SIGKILL);
    }
    for (auto& it : callers) {
        it.join();
    }
    for (std::size_t n = 0; n < statuses.size(); ++n) {
        // Both attempts of a download may have met a killed upstream; the same request is served then.
        CHECK((statuses[n] == 200 || statuses[n] == 502));
        CHECK(send_to(subject.nodes()[n % 2], "GET", "/f/a").status == 200);
    }
    const auto metrics = send({.address = subject.nodes().front().control, .path = "/metrics"}).body;
    CHECK(metrics.find("suspect-refused") == std::string::npos);
}

} // namespace berylcrank::testing
