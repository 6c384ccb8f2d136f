#include "tests/support/deployment.h"
#include "tests/support/load_generator.h"

#include <csignal>
#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

/** Upstreams that can handle two concurrent requests until they have completed 30, and count requests above
    that limit as cold violations. */
struct cold_fixture {
    deployment subject{{.nodes = 4,
                        .services = {{.name = "inventario",
                                      .workers = 4,
                                      .extra_yaml = "cold_concurrency: 2, warm_requests: 30",
                                      .upstream_options = {"--cold-concurrency", "2", "--warm-requests", "30",
                                                           "--service-ms", "3"}}},
                        .extra_settings = "addresses:\n  keep_ms: 500\n"}};

    load_generator::options load_options() {
        load_generator::options result{.lookup_service = "inventario", .threads = 8};
        for (const auto& node : subject.nodes()) {
            result.nodes.push_back(node.http_address);
        }
        return result;
    }
};

} // namespace

// Guards against nodes that each respect the limit of a cold upstream but exceed it together.
TEST_CASE_FIXTURE(cold_fixture,
                  "cold start, all upstreams cold under load, serves all lookups without overload") {
    load_generator load(load_options());
    load.wait_for_requests(1000, 40000);
    const auto result = load.stop();
    CAPTURE(result.failures);
    CHECK(result.lookups_failed == 0);
    CHECK(subject.counter_total("cold_violations") == 0);
}

// Guards against treating an upstream as warm after its process was replaced at the same address.
TEST_CASE_FIXTURE(cold_fixture, "cold start, upstreams restart unannounced, are never overloaded") {
    load_generator load(load_options());
    load.wait_for_requests(600, 40000);
    for (const auto* name : {"inventario-1", "inventario-2", "inventario-1"}) {
        subject.restart_upstream(name);
        load.wait_for_requests(200, 40000);
        CHECK(subject.counter(subject.upstream(name).address, "cold_violations") == 0);
    }
    CHECK(load.stop().wrong_responses == 0);
    CHECK(subject.counter_total("cold_violations") == 0);
}

// Guards against two permit holders for one upstream after a holder was killed or frozen during warm-up.
TEST_CASE_FIXTURE(cold_fixture,
                  "cold start, holders killed and frozen during warm-up, never exceed the limit") {
    load_generator load(load_options());
    load.wait_for_requests(100, 40000);
    subject.node(0).process->send(SIGKILL);
    subject.restart_upstream("inventario-3");
    subject.node(1).process->send(SIGSTOP);
    subject.restart_upstream("inventario-4");
    load.wait_for_requests(100, 60000);
    subject.node(1).process->send(SIGCONT);
    load.wait_for_requests(200, 60000);
    CHECK(load.stop().wrong_responses == 0);
    CHECK(subject.counter_total("cold_violations") == 0);
}

} // namespace berylcrank::testing
