#include "tests/support/platform_deployment.h"

#include <chrono>
#include <csignal>
#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

struct gateway_store_fixture {
    platform_deployment subject{3, 2};

    int status(std::size_t n, const std::string& path) {
        return subject.request(subject.nodes()[n], "GET", path, "id-" + std::to_string(++ids)).status;
    }

    // All nodes answer a path with a status within the platform's 2 s.
    void wait_everywhere(const std::string& path, int expected) {
        wait_until(
            "all nodes answer " + path,
            [&] {
                return status(0, path) == expected && status(1, path) == expected &&
                       status(2, path) == expected;
            },
            2000);
    }

    bool any_node_says(const std::string& path, const std::string& text) {
        for (const auto& it : subject.nodes()) {
            if (send({.address = it.control, .path = path}).body.find(text) != std::string::npos) {
                return true;
            }
        }
        return false;
    }

    int ids{0};
};

const std::string new_route =
    R"({"name":"new","path-prefix":"/new/","kind":"safe","service":"lookups","max-attempts":1},)";

} // namespace

// Guards against a configuration that is late on some node, and against one that goes back.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, new configuration, is in force on all nodes within 2 s and stays") {
    CHECK(status(0, "/new/a") == 404);
    subject.put_operator("config", platform_deployment::config(5, new_route));
    wait_everywhere("/new/a", 200);
    subject.put_operator("config", platform_deployment::config(3));
    subject.put_operator("evacuate/south", "{}");
    subject.nodes()[0].process->wait_line("\"domain-evacuated\"");
    for (std::size_t n = 0; n < 3; ++n) {
        CHECK(status(n, "/new/a") == 200);
    }
}

// Guards against requests to an upstream that drains or whose registration is gone.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, upstream drains or is removed, all nodes leave it within 2 s") {
    const auto workers = subject.workers_of("lookups");
    subject.put_worker(*workers[0], "draining", 2);
    wait_until(
        "no node uses it",
        [&] {
            for (std::size_t n = 0; n < 3; ++n) {
                for (int k = 0; k < 3; ++k) {
                    const auto it =
                        subject.request(subject.nodes()[n], "GET", "/l/a", "d-" + std::to_string(++ids));
                    if (it.header("Server-Signature") == workers[0]->id) {
                        return false;
                    }
                }
            }
            return true;
        },
        2000);
    subject.remove_worker(*workers[1]);
    wait_everywhere("/l/a", 503);
}

// Guards against nodes that stop serving, or serve a cleared service, because the store is away.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, store refuses, is silent and returns, serves all the while") {
    for (const auto* outage : {"refuse", "silent"}) {
        subject.store_fault(outage);
        wait_until("the loss is noticed", [&] { return any_node_says("/status", "\"store_lost\":true"); });
        for (std::size_t n = 0; n < 3; ++n) {
            CHECK(status(n, "/l/a") == 200);
        }
        subject.store_fault("none");
    }
    subject.put_operator("config", platform_deployment::config(7, new_route));
    wait_until(
        "the new configuration is in force", [&] { return status(0, "/new/a") == 200; }, 4000);
}

// Guards against a node that stays on old records because the store dropped those in between.
TEST_CASE_FIXTURE(gateway_store_fixture, "gateway, store forgets its history, takes the newest records") {
    subject.store_fault("refuse");
    subject.put_operator("config", platform_deployment::config(7, new_route));
    subject.forget_history("keyed.op");
    subject.forget_history("keyed.servers");
    subject.store_fault("none");
    wait_until(
        "the new configuration is in force",
        [&] {
            return status(0, "/new/a") == 200 && status(1, "/new/a") == 200 && status(2, "/new/a") == 200;
        },
        5000);
}

// Guards against a node that starts while the store is away and tells callers that their routes do not exist.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, starts while the store is away, says 503 or learns from its peers") {
    subject.store_fault("silent");
    const auto& late = subject.start_node();
    late.process->wait_line("\"started\"");
    const auto answer = subject.request(late, "GET", "/l/a", "s-1");
    CHECK((answer.status == 503 || answer.status == 200));
    subject.store_fault("none");
    platform_deployment::wait_ready(late);
    CHECK(subject.request(late, "GET", "/l/a", "s-2").status == 200);
}

// Guards against a deployment that stays down when all its processes are killed at once.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, all nodes are killed, serves again with the last configuration") {
    subject.put_operator("config", platform_deployment::config(9, new_route));
    for (const auto& it : subject.nodes()) {
        it.process->send(SIGKILL);
        it.process->wait_exit();
    }
    subject.nodes().clear();
    for (int n = 0; n < 3; ++n) {
        subject.start_node();
    }
    for (const auto& it : subject.nodes()) {
        platform_deployment::wait_ready(it);
    }
    wait_everywhere("/new/a", 200);
}

// Guards against calls to the store that grow with the number of nodes.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, calm, all nodes together read the store a few times a second") {
    const auto before = subject.store_calls();
    const auto start = std::chrono::steady_clock::now();
    wait_until("three seconds have passed",
               [&] { return std::chrono::steady_clock::now() - start > std::chrono::seconds(3); });
    const auto calls = subject.store_calls() - before;
    CHECK(calls >= 3);
    CHECK(calls <= 30); // 400 on a day of 40 s
}

// Guards against records of other writers that take an upstream away or name one that cannot be used.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, unreadable registrations, ignores them and keeps the others") {
    auto forged = platform_worker{.id = "i-forged", .service = "nosuch", .address = "127.0.0.1:1"};
    subject.put_worker(forged, "ready", 1);
    forged.service = "lookups";
    subject.put_worker(forged, "asleep", 2);
    wait_until("it is counted", [&] { return any_node_says("/metrics", "unreadable-upstream"); });
    for (std::size_t n = 0; n < 3; ++n) {
        CHECK(status(n, "/l/a") == 200);
    }
}

} // namespace berylcrank::testing
