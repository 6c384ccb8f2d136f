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
        for (const auto& it : json.at("tickets")) {
            if (it.at("number") == ticket) {
                return it.at("outcome").get<std::string>();
            }
        }
        return "unseen";
    }

    bool is_agreed() {
        const auto first = status(0).at("state_digest");
        return first == status(1).at("state_digest") && first == status(2).at("state_digest");
    }
};

} // namespace

// Guards against nodes that disagree on which of two conflicting tickets is in force.
TEST_CASE_FIXTURE(config_fixture,
                  "tickets, two operators race with one number, one content wins everywhere") {
    for (std::uint64_t number = 2; number < 8; ++number) {
        std::thread other([&] { subject.publish(subject.domain_ticket(number, "bog-norte", true)); });
        subject.publish(subject.domain_ticket(number, "bog-norte", false));
        other.join();
    }
    wait_until(
        "all nodes agree", [&] { return outcome(0, 7) != "unseen" && is_agreed(); }, 5000);
}

TEST_CASE_FIXTURE(config_fixture, "tickets, append answers lost, are in force once after publishing again") {
    deployment::control(subject.log_address(), R"({"lose_answers":2})");
    CHECK(subject.publish(subject.domain_ticket(2, "bog-norte", false)) == 0);
    subject.wait_in_force(2, 5000);
    CHECK(is_agreed());
}

// Guards against service that ends with the log, and against new nodes that cannot start without it.
TEST_CASE_FIXTURE(config_fixture, "log outage, service goes on and a new node learns from its peers") {
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

// Guards against a resumed node that brings back an older state.
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
        "all nodes agree", [&] { return is_agreed(); }, 5000);
    CHECK(outcome(0, 5) == "accepted");
}

// Guards against a cut-off node that goes on with a configuration that may have been replaced.
TEST_CASE_FIXTURE(config_fixture, "node cut off from log and peers, refuses new work and recovers") {
    CHECK(send({.address = subject.node(0).http_address, .path = "/s/inventario/x"}).status == 200);
    deployment::control(subject.log_address(), R"({"outage":"silent"})");
    subject.node(1).process->send(SIGSTOP);
    subject.node(2).process->send(SIGSTOP);
    const auto ask = [&] {
        return send({.address = subject.node(0).http_address, .path = "/s/inventario/x"});
    };
    wait_until(
        "new work is refused", [&] { return ask().verdict() == "not-run"; }, 8000);
    deployment::control(subject.log_address(), R"({"outage":"none"})");
    subject.node(1).process->send(SIGCONT);
    subject.node(2).process->send(SIGCONT);
    wait_until(
        "work is taken again", [&] { return ask().status == 200; }, 10000);
}

} // namespace berylcrank::testing
