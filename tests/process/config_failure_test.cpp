#include "tests/support/deployment.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace berylcrank::testing {

namespace {

struct config_fixture {
    deployment subject{{.nodes = 3, .services = {{.name = "inventario"}}}};

    nlohmann::json status(std::size_t node) {
        return nlohmann::json::parse(deployment::get(subject.node(node).http_address, "/status"));
    }

    std::string outcome(std::size_t node, std::uint64_t ticket) {
        const auto json = status(node);
        for (const auto& entry : json.at("tickets")) {
            if (entry.at("number") == ticket) {
                return entry.at("outcome").get<std::string>();
            }
        }
        return "unseen";
    }

    bool states_agree() {
        const auto first = status(0).at("state_digest");
        return first == status(1).at("state_digest") && first == status(2).at("state_digest");
    }
};

} // namespace

// Guards against nodes that accept different tickets of the same number.
TEST_CASE_FIXTURE(config_fixture,
                  "tickets, two operators publish the same number, all nodes accept the same one") {
    for (std::uint64_t number = 2; number < 8; ++number) {
        std::thread other([&] { subject.publish(subject.domain_ticket(number, "bog-norte", true)); });
        subject.publish(subject.domain_ticket(number, "bog-norte", false));
        other.join();
    }
    wait_until(
        "all nodes agree", [&] { return outcome(0, 7) != "unseen" && states_agree(); }, 5000);
}

TEST_CASE_FIXTURE(config_fixture, "tickets, append responses lost, are in force once after a retry") {
    deployment::control(subject.log_address(), R"({"lose_answers":2})");
    CHECK(subject.publish(subject.domain_ticket(2, "bog-norte", false)) == 0);
    subject.wait_in_force(2, 5000);
    CHECK(states_agree());
}

// Guards against nodes that stop serving during a log outage, and against new nodes that cannot start in one.
TEST_CASE_FIXTURE(config_fixture,
                  "log outage, nodes keep serving and a new node gets its state from its peers") {
    subject.publish(subject.domain_ticket(2, "bog-norte", false));
    subject.wait_in_force(2, 5000);
    deployment::control(subject.log_address(), R"({"outage":"refuse"})");
    const auto& fresh = subject.start_node("vm-4", "bog-sur");
    const auto json = nlohmann::json::parse(deployment::get(fresh.http_address, "/status"));
    CHECK(json.at("state_digest") == status(0).at("state_digest"));
    CHECK(send({.address = subject.node(0).http_address, .path = "/s/inventario/x"}).status == 200);
    CHECK(subject.publish(subject.domain_ticket(3, "bog-norte", true)) == 5);
    deployment::control(subject.log_address(), R"({"outage":"none"})");
    CHECK(subject.publish(subject.domain_ticket(3, "bog-norte", true)) == 0);
    subject.wait_in_force(3, 5000);
}

// Guards against a resumed node that restores an older state, on itself or on other nodes.
TEST_CASE_FIXTURE(config_fixture,
                  "node frozen while tickets are published and trimmed, converges and never reverts") {
    auto& frozen = *subject.node(2).process;
    frozen.send(SIGSTOP);
    for (std::uint64_t number = 2; number < 6; ++number) {
        subject.publish(subject.domain_ticket(number, "bog-norte", number % 2 == 1));
    }
    wait_until(
        "ticket 5 on vm-1", [&] { return outcome(0, 5) == "accepted"; }, 5000);
    const auto applied = status(0).at("applied_offset").get<std::uint64_t>();
    deployment::control(subject.log_address(), R"({"trim":)" + std::to_string(applied) + "}");
    frozen.send(SIGCONT);
    wait_until(
        "the resumed node has ticket 5", [&] { return outcome(2, 5) == "accepted"; }, 10000);
    wait_until(
        "all nodes agree", [&] { return states_agree(); }, 5000);
    CHECK(outcome(0, 5) == "accepted");
}

// Guards against an isolated node that keeps serving with a configuration that may be outdated.
TEST_CASE_FIXTURE(config_fixture, "node isolated from log and peers, refuses new requests and recovers") {
    CHECK(send({.address = subject.node(0).http_address, .path = "/s/inventario/x"}).status == 200);
    deployment::control(subject.log_address(), R"({"outage":"silent"})");
    subject.node(1).process->send(SIGSTOP);
    subject.node(2).process->send(SIGSTOP);
    const auto send_lookup = [&] {
        return send({.address = subject.node(0).http_address, .path = "/s/inventario/x"});
    };
    wait_until(
        "new requests are refused", [&] { return send_lookup().verdict() == "not-run"; }, 8000);
    deployment::control(subject.log_address(), R"({"outage":"none"})");
    subject.node(1).process->send(SIGCONT);
    subject.node(2).process->send(SIGCONT);
    wait_until(
        "requests are accepted again", [&] { return send_lookup().status == 200; }, 10000);
}

} // namespace berylcrank::testing
