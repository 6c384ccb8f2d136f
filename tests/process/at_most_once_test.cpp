#include "tests/support/deployment.h"
#include "tests/support/load_generator.h"

#include <absl/strings/str_join.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

namespace berylcrank::testing {

namespace {

struct orders_fixture {
    deployment subject{{.nodes = 3,
                        .services = {{.name = "pedidos",
                                      .request_class = "order",
                                      .extra_yaml = "cold_concurrency: 2, deadline_ms: 4000",
                                      .upstream_options = {"--service-ms", "5"}}},
                        .extra_settings = "addresses:\n  keep_ms: 500\n"}};
    std::string id = fetch_id_prefix(subject.node(0).http_address) + ".1";

    void control_all(const std::string& json) {
        for (const auto& upstream : subject.upstreams()) {
            deployment::control(upstream.address, json);
        }
    }
};

} // namespace

// Guards against two nodes that both run the same order.
TEST_CASE_FIXTURE(orders_fixture,
                  "order, sent to all nodes concurrently, runs once and all get its response") {
    std::vector<test_response> responses(9);
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < responses.size(); ++n) {
        threads.emplace_back([&, n] {
            responses[n] = send_order(subject.node(n % 3).http_address, "pedidos", id, "one duct");
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    for (const auto& response : responses) {
        CHECK(response.verdict() == "ran");
        CHECK(response.body == "one duct");
    }
    CHECK(subject.executions(id) == 1);
}

// Guards against a second run, or a false "not-run", when the home node of an id has crashed.
TEST_CASE_FIXTURE(orders_fixture, "order, home killed during the run, may have run and runs at most once") {
    control_all(R"({"service_ms":400})");
    std::thread first([&] { send_order(subject.node(0).http_address, "pedidos", id, "a"); });
    wait_until("the order runs", [&] { return subject.executions(id) == 1; });
    subject.node(0).process->send(SIGKILL);
    first.join();
    for (std::size_t n : {1U, 2U}) {
        CHECK(send_order(subject.node(n).http_address, "pedidos", id, "a", 2000).verdict() == "may-have-run");
    }
    CHECK(subject.executions(id) == 1);
}

// Guards against a resumed node that runs an order whose deadline passed while the node was frozen.
TEST_CASE_FIXTURE(orders_fixture, "order, home frozen past the deadline and resumed, is not run later") {
    auto& home = *subject.node(0).process;
    home.send(SIGSTOP);
    std::atomic<int> may_have_run{0};
    std::thread at_home([&] { send_order(subject.node(0).http_address, "pedidos", id, "b", 600); });
    std::thread elsewhere([&] {
        may_have_run +=
            send_order(subject.node(1).http_address, "pedidos", id, "b", 600).verdict() == "may-have-run";
    });
    at_home.join();
    elsewhere.join();
    CHECK(may_have_run == 1);
    home.send(SIGCONT);
    wait_until("the home node is ready again", [&] {
        return send({.address = subject.node(0).http_address, .path = "/ready"}).status == 200;
    });
    const auto after = send_order(subject.node(0).http_address, "pedidos", id, "b", 600);
    CHECK(subject.executions(id) == (after.verdict() == "ran" ? 1 : 0));
    if (after.verdict() == "not-run") {
        CHECK(send_order(subject.node(2).http_address, "pedidos", id, "b").verdict() == "not-run");
        CHECK(subject.executions(id) == 0);
    }
}

// Guards against a retry after the upstream has received the order and closed the connection.
TEST_CASE_FIXTURE(orders_fixture,
                  "order, upstream closes the connection after receipt, may have run and is not retried") {
    control_all(R"({"fault":"close"})");
    const auto first = send_order(subject.node(0).http_address, "pedidos", id, "c");
    CHECK(first.verdict() == "may-have-run");
    control_all(R"({"fault":""})");
    CHECK(send_order(subject.node(1).http_address, "pedidos", id, "c").verdict() == "may-have-run");
    CHECK(subject.executions(id) == 1);
}

TEST_CASE_FIXTURE(orders_fixture, "order, shed by every upstream, is not run by later copies either") {
    control_all(R"({"shed":true})");
    CHECK(send_order(subject.node(0).http_address, "pedidos", id, "d").verdict() == "not-run");
    control_all(R"({"shed":false})");
    for (std::size_t n : {0U, 1U, 2U}) {
        CHECK(send_order(subject.node(n).http_address, "pedidos", id, "d").verdict() == "not-run");
    }
    CHECK(subject.executions(id) == 0);
}

// Guards against wrong verdicts when kills, freezes and restarts are combined under load.
TEST_CASE_FIXTURE(orders_fixture,
                  "orders, nodes and upstreams killed and frozen under load, have correct verdicts") {
    load_generator::options options{.order_service = "pedidos", .threads = 6, .timeout_ms = 1500};
    for (const auto& node : subject.nodes()) {
        options.nodes.push_back(node.http_address);
    }
    load_generator load(options);
    load.wait_for_requests(60);
    std::map<std::string, int> killed_executions; // Executions counted by upstreams before they were killed.
    const auto save_executions = [&](const std::string& name) {
        for (const auto& [id_text, n] : subject.executions_at(name)) {
            killed_executions[id_text] += n;
        }
    };
    for (int round = 0; round < 3; ++round) {
        auto& frozen = *subject.node(1).process;
        frozen.send(SIGSTOP);
        load.wait_for_requests(10, 60000);
        frozen.send(SIGCONT);
        auto& victim = subject.upstream("pedidos-" + std::to_string(round + 1));
        deployment::control(victim.address, R"({"shed":true})");
        wait_until("the upstream is idle", [&] { return subject.counter(victim.address, "in_flight") == 0; });
        save_executions(victim.name);
        subject.restart_upstream(victim.name);
        const auto vm = subject.node(0).vm;
        const auto domain = subject.node(0).failure_domain;
        subject.node(0).process->send(SIGKILL);
        subject.start_node(vm, domain);
        load.wait_for_requests(20, 60000);
    }
    const auto result = load.stop();
    int ran = 0;
    for (const auto& order : result.orders) {
        const int n = subject.executions(order.id) + killed_executions[order.id];
        CAPTURE(order.id);
        CHECK(n <= 1);
        CHECK(order.is_response_correct);
        // "not-sent" means that this attempt's connection was refused; earlier attempts may have run.
        const bool never_sent = std::all_of(order.verdicts.begin(), order.verdicts.end(),
                                            [](const auto& verdict) { return verdict == "not-sent"; });
        CAPTURE(absl::StrJoin(order.verdicts, " "));
        for (const auto& verdict : order.verdicts) {
            if (verdict == "not-run" || never_sent) {
                CHECK(n == 0);
            } else if (verdict == "ran") {
                CHECK(n == 1);
                ++ran;
            }
        }
    }
    CHECK(ran > 0);
}

} // namespace berylcrank::testing
