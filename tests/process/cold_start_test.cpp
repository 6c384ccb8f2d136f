#include "tests/support/deployment.h"
#include "tests/support/load_generator.h"

#include <csignal>
#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

/** Upstreams that bear two requests until they have answered 30, and count each one beyond that. */
struct cold_fixture {
    deployment subject{{.nodes = 4,
                        .services = {{.name = "inventario",
                                      .workers = 4,
                                      .more_yaml = "cold_concurrency: 2, warm_requests: 30",
                                      .upstream_options = {"--cold-concurrency", "2", "--warm-requests", "30",
                                                           "--service-ms", "3"}}},
                        .more_settings = "addresses:\n  keep_ms: 500\n"}};

    load_caller::options callers() {
        load_caller::options it{.lookup_service = "inventario", .threads = 8};
        for (const auto& node : subject.nodes()) {
            it.nodes.push_back(node.http_address);
        }
        return it;
    }
};

} // namespace

// Guards against nodes that each send a little to a pool that has just started, and too much together.
TEST_CASE_FIXTURE(cold_fixture, "cold start, whole pool cold under load, serves and is never overloaded") {
    load_caller load(callers());
    load.wait_more(1000, 40000);
    const auto result = load.stop();
    CAPTURE(result.failures);
    CHECK(result.lookups_failed == 0);
    CHECK(subject.total("cold_violations") == 0);
}

// Guards against connections that are trusted after the process behind them was replaced.
TEST_CASE_FIXTURE(cold_fixture, "cold start, upstreams restart without a sign, are never overloaded") {
    load_caller load(callers());
    load.wait_more(600, 40000);
    for (const auto* name : {"inventario-1", "inventario-2", "inventario-1"}) {
        subject.restart_upstream(name);
        load.wait_more(200, 40000);
        CHECK(subject.counter(subject.upstream(name).address, "cold_violations") == 0);
    }
    CHECK(load.stop().wrong_answers == 0);
    CHECK(subject.total("cold_violations") == 0);
}

// Guards against two permit holders after one was killed or frozen while it issued permits.
TEST_CASE_FIXTURE(cold_fixture, "cold start, holders killed and frozen during the ramp, keep the bound") {
    load_caller load(callers());
    load.wait_more(100, 40000);
    subject.node(0).process->send(SIGKILL);
    subject.restart_upstream("inventario-3");
    subject.node(1).process->send(SIGSTOP);
    subject.restart_upstream("inventario-4");
    load.wait_more(100, 60000);
    subject.node(1).process->send(SIGCONT);
    load.wait_more(200, 60000);
    CHECK(load.stop().wrong_answers == 0);
    CHECK(subject.total("cold_violations") == 0);
}

} // namespace berylcrank::testing
