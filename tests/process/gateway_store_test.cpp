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

    // Waits until all nodes respond to a path with a status, for at most the platform's limit of 2 s.
    void wait_everywhere(const std::string& path, int expected) {
        wait_until(
            "all nodes respond to " + path,
            [&] {
                return status(0, path) == expected && status(1, path) == expected &&
                       status(2, path) == expected;
            },
            2000);
    }

    // Writes a registration behind the earlier ones and waits until the first `count` nodes have applied it.
    void write_and_wait_for_later_record(std::size_t count) {
        const auto& later = *subject.workers_of("files")[0];
        subject.put_worker_record(later, "draining", 2);
        for (std::size_t n = 0; n < count; ++n) {
            subject.nodes()[n].process->wait_line("\"address\":\"" + later.address + "\",\"draining\":true");
        }
    }

    bool any_node_reports(const std::string& path, const std::string& text) {
        for (const auto& node : subject.nodes()) {
            if (send({.address = node.control, .path = path}).body.find(text) != std::string::npos) {
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

// Guards against a node that applies a configuration too late, and against a return to an older version.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, new configuration, is in force on all nodes within 2 s and stays") {
    CHECK(status(0, "/new/a") == 404);
    subject.put_operator_record("config", platform_deployment::config(5, new_route));
    wait_everywhere("/new/a", 200);
    subject.put_operator_record("config", platform_deployment::config(3));
    subject.put_operator_record("evacuate/south", "{}");
    subject.nodes()[0].process->wait_line("\"domain-evacuated\"");
    for (std::size_t n = 0; n < 3; ++n) {
        CHECK(status(n, "/new/a") == 200);
    }
}

// Guards against requests to an upstream that drains or whose registration was removed.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, upstream drains or is removed, no node uses it after 2 s") {
    const auto workers = subject.workers_of("lookups");
    subject.put_worker_record(*workers[0], "draining", 2);
    wait_until(
        "no node uses it",
        [&] {
            for (std::size_t n = 0; n < 3; ++n) {
                for (int k = 0; k < 3; ++k) {
                    const auto response =
                        subject.request(subject.nodes()[n], "GET", "/l/a", "d-" + std::to_string(++ids));
                    if (response.header("Server-Signature") == workers[0]->id) {
                        return false;
                    }
                }
            }
            return true;
        },
        2000);
    subject.remove_worker_record(*workers[1]);
    wait_everywhere("/l/a", 503);
}

// Guards against requests to an upstream that has left, because the store executed a heartbeat after the
// removal: at the nodes that have seen the removal, and at one that was paused and gets the records from
// them.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, heartbeat is executed after the removal, no node uses the upstream") {
    const auto& left = *subject.workers_of("lookups")[0];
    const auto& remaining = *subject.workers_of("lookups")[1];
    const auto& paused = subject.nodes()[2];
    paused.process->send(SIGSTOP);
    subject.put_worker_record(left, "ready", 7);
    subject.remove_worker_record(left);
    for (std::size_t n = 0; n < 2; ++n) {
        subject.nodes()[n].process->wait_line("\"event\":\"upstream-removed\",\"upstream\":\"" + left.id);
    }
    subject.put_worker_record(left, "ready", 5);
    write_and_wait_for_later_record(2);
    subject.set_store_outage("silent");
    paused.process->send(SIGCONT);
    paused.process->wait_line("\"event\":\"upstream-removed\",\"upstream\":\"" + left.id);
    for (const auto& it : subject.nodes()) {
        for (int n = 0; n < 8; ++n) {
            const auto response = subject.request(it, "GET", "/l/a", "h-" + std::to_string(++ids));
            CHECK(response.header("Server-Signature") == remaining.id);
        }
    }
}

// Guards against a node that gets an older configuration from its peers, because the store executed its write
// after that of the newer one.
TEST_CASE_FIXTURE(
    gateway_store_fixture,
    "gateway, older configuration is executed last, a paused node gets the newer one from peers") {
    const auto& paused = subject.nodes()[2];
    paused.process->send(SIGSTOP);
    subject.put_operator_record("config", platform_deployment::config(5, new_route));
    for (std::size_t n = 0; n < 2; ++n) {
        subject.nodes()[n].process->wait_line("\"event\":\"config-applied\",\"version\":5");
    }
    subject.put_operator_record("config", platform_deployment::config(3));
    subject.put_operator_record("evacuate/south", "{}");
    for (std::size_t n = 0; n < 2; ++n) {
        subject.nodes()[n].process->wait_line("\"event\":\"domain-evacuated\"");
    }
    subject.set_store_outage("silent");
    paused.process->send(SIGCONT);
    paused.process->wait_line("\"event\":\"domain-evacuated\"");
    CHECK(status(2, "/new/a") == 200);
}

// Guards against nodes that stop serving, or lose their upstreams, because the store is unavailable.
TEST_CASE_FIXTURE(gateway_store_fixture, "gateway, store refuses, is silent and recovers, keeps serving") {
    for (const auto* outage : {"refuse", "silent"}) {
        subject.set_store_outage(outage);
        wait_until("a node reports the outage",
                   [&] { return any_node_reports("/status", "\"store_lost\":true"); });
        for (std::size_t n = 0; n < 3; ++n) {
            CHECK(status(n, "/l/a") == 200);
        }
        subject.set_store_outage("none");
    }
    subject.put_operator_record("config", platform_deployment::config(7, new_route));
    wait_until(
        "the new configuration is in force", [&] { return status(0, "/new/a") == 200; }, 4000);
}

// Guards against a node that keeps old records because the store has removed the later ones from its history.
TEST_CASE_FIXTURE(gateway_store_fixture, "gateway, store trims its history, reads the newest records") {
    subject.set_store_outage("refuse");
    subject.put_operator_record("config", platform_deployment::config(7, new_route));
    subject.trim_topic("keyed.op");
    subject.trim_topic("keyed.servers");
    subject.set_store_outage("none");
    wait_until(
        "the new configuration is in force",
        [&] {
            return status(0, "/new/a") == 200 && status(1, "/new/a") == 200 && status(2, "/new/a") == 200;
        },
        5000);
}

// Guards against a node that starts during a store outage and responds with 404 for existing routes.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, starts during a store outage, responds with 503 or gets its state from peers") {
    subject.set_store_outage("silent");
    const auto& late = subject.start_node();
    late.process->wait_line("\"started\"");
    const auto response = subject.request(late, "GET", "/l/a", "s-1");
    CHECK((response.status == 503 || response.status == 200));
    subject.set_store_outage("none");
    platform_deployment::wait_ready(late);
    CHECK(subject.request(late, "GET", "/l/a", "s-2").status == 200);
}

// Guards against a deployment that does not recover after all its nodes are killed at the same time.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, all nodes are killed, serves again with the last configuration") {
    subject.put_operator_record("config", platform_deployment::config(9, new_route));
    for (const auto& node : subject.nodes()) {
        node.process->send(SIGKILL);
        node.process->wait_exit();
    }
    subject.nodes().clear();
    for (int n = 0; n < 3; ++n) {
        subject.start_node();
    }
    for (const auto& node : subject.nodes()) {
        platform_deployment::wait_ready(node);
    }
    wait_everywhere("/new/a", 200);
}

// Guards against a rate of store calls that grows with the number of nodes.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, no changes, all nodes together read the store a few times a second") {
    const auto before = subject.store_call_count();
    const auto start = std::chrono::steady_clock::now();
    wait_until("three seconds have passed",
               [&] { return std::chrono::steady_clock::now() - start > std::chrono::seconds(3); });
    const auto calls = subject.store_call_count() - before;
    CHECK(calls >= 3);
    CHECK(calls <= 30); // 30 calls in 3 s: the limit of 400 calls in a 40 s run.
}

// Guards against unreadable records that remove an upstream or add one that cannot be used.
TEST_CASE_FIXTURE(gateway_store_fixture,
                  "gateway, unreadable registrations, ignores them and keeps the others") {
    auto forged = platform_worker{.id = "i-forged", .service = "nosuch", .address = "127.0.0.1:1"};
    subject.put_worker_record(forged, "ready", 1);
    forged.service = "lookups";
    subject.put_worker_record(forged, "asleep", 2);
    wait_until("the record is counted as unreadable",
               [&] { return any_node_reports("/metrics", "unreadable-upstream"); });
    for (std::size_t n = 0; n < 3; ++n) {
        CHECK(status(n, "/l/a") == 200);
    }
}

} // namespace berylcrank::testing
