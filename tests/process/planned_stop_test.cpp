#include "tests/support/deployment.h"
#include "tests/support/load_generator.h"

#include <csignal>
#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

/** Four nodes with services for orders, lookups and downloads. Callers cache addresses for half a second. */
struct busy_fixture {
    deployment subject{
        {.nodes = 4,
         .services = {{.name = "inventario", .extra_yaml = "cold_concurrency: 2"},
                      {.name = "pedidos", .request_class = "order", .extra_yaml = "cold_concurrency: 2"},
                      {.name = "planos", .request_class = "download", .extra_yaml = "cold_concurrency: 2"}},
         .extra_settings = "addresses:\n  keep_ms: 500\n"}};

    load_generator::options load_options() {
        load_generator::options result{
            .order_service = "pedidos", .lookup_service = "inventario", .download_service = "planos"};
        for (const auto& node : subject.nodes()) {
            result.nodes.push_back(node.http_address);
        }
        return result;
    }
};

void check_all_succeeded(const load_result& result) {
    CAPTURE(result.failures);
    CHECK(result.lookups > 0);
    CHECK(result.lookups_failed == 0);
    CHECK(result.downloads > 0);
    CHECK(result.downloads_failed == 0);
    CHECK(result.wrong_responses == 0);
    CHECK(result.orders.size() > 0);
    CHECK(result.orders_ending("ran") + result.orders_ending("not-sent") ==
          static_cast<int>(result.orders.size()));
}

} // namespace

// Guards against a planned stop that aborts requests in flight, and against callers that still use a stopped
// node.
TEST_CASE_FIXTURE(busy_fixture, "planned stop, each node in turn under load, fails no request") {
    load_generator load(load_options());
    load.wait_for_requests(100);
    for (int n = 0; n < 4; ++n) {
        auto& node = subject.node(0);
        const auto vm = node.vm;
        const auto domain = node.failure_domain;
        node.process->send(SIGTERM);
        CHECK(node.process->wait_exit() == 0);
        subject.start_node(vm, domain);
        load.wait_for_requests(50);
    }
    const auto result = load.stop();
    check_all_succeeded(result);
    for (const auto& order : result.orders) {
        CHECK(subject.executions(order.id) == (order.verdicts.back() == "ran" ? 1 : 0));
    }
}

// Guards against new requests to a failure domain out of use, and against aborting its requests in flight.
TEST_CASE_FIXTURE(busy_fixture,
                  "failure domain, out of use and back under load, gets no new requests and none fails") {
    load_generator load(load_options());
    load.wait_for_requests(100);
    REQUIRE(subject.publish(subject.domain_ticket(2, "bog-norte", false)) == 0);
    subject.wait_in_force(2, 3000);
    load.wait_for_requests(20); // Lets requests end that were in flight when the ticket came into force.
    const auto count = [&] {
        long n = 0;
        for (const auto& upstream : subject.upstreams()) {
            if (upstream.failure_domain == "bog-norte") {
                n += subject.counter(upstream.address, "received");
            }
        }
        return n;
    };
    const auto before = count();
    load.wait_for_requests(200);
    CHECK(count() == before);
    REQUIRE(subject.publish(subject.domain_ticket(3, "bog-norte", true)) == 0);
    subject.wait_in_force(3, 5000);
    wait_until("the failure domain gets requests again", [&] { return count() > before; });
    load.wait_for_requests(100);
    check_all_succeeded(load.stop());
    CHECK(subject.counter_total("cold_violations") == 0);
}

} // namespace berylcrank::testing
