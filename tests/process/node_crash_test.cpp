#include "tests/support/deployment.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

/** Nodes of the own interface in front of upstreams that end when a path or body contains "poison". */
struct node_crash_fixture {
    static constexpr int workers = 6;
    /** Crashes after which a request is refused. */
    static constexpr int crashes_allowed = 3;
    static constexpr const char* crash_marker = "poison";

    deployment subject{{.failure_domains = {"bog-norte", "bog-centro"},
                        .nodes = 2,
                        .services = {{.name = "inventario", .request_class = "lookup", .workers = workers},
                                     {.name = "pedidos", .request_class = "order", .workers = workers}}}};
    int ids{0};

    node_crash_fixture() {
        for (const auto& it : subject.upstreams()) {
            deployment::control(it.address, R"({"crash_marker":")" + std::string(crash_marker) + R"("})");
        }
    }

    test_response send_lookup(std::size_t node, const std::string& path) {
        return send({.address = subject.node(node).http_address, .path = "/s/inventario/" + path});
    }

    // Sends an order with a new id that the node has issued.
    test_response send_new_order(std::size_t node, const std::string& body) {
        const auto& address = subject.node(node).http_address;
        const auto id = fetch_id_prefix(address) + "." + std::to_string(++ids);
        return send_order(address, "pedidos", id, body, 2000);
    }

    static double losses(const running_node& node) {
        const auto text = deployment::get(node.http_address, "/metrics");
        const std::string name = "\nberylcrank_suspect_losses ";
        const auto at = text.find(name);
        return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size()));
    }

    // Waits until both nodes know the same losses, at least one.
    void wait_until_shared() {
        wait_until("the nodes have told each other", [&] {
            const auto first = losses(subject.node(0));
            return first > 0 && first == losses(subject.node(1));
        });
    }

    int crashed(const std::string& service) {
        return static_cast<int>(std::ranges::count_if(subject.upstreams(), [&](const auto& it) {
            return it.service == service &&
                   !send({.address = it.address, .path = "/executions"}).is_connected;
        }));
    }
};

} // namespace

// Guards against a lookup that its caller repeats at any node until it has crashed every upstream.
TEST_CASE_FIXTURE(node_crash_fixture,
                  "node, lookup crashes each upstream that runs it, is refused at all nodes") {
    for (std::size_t n = 0; n < 4; ++n) {
        send_lookup(n % 2, "poison");
        wait_until_shared();
    }
    for (std::size_t n = 0; n < 2; ++n) {
        const auto response = send_lookup(n, "poison");
        CHECK(response.status == 503);
        CHECK(response.verdict() == "not-run");
        CHECK(send_lookup(n, "duct/7").status == 200);
    }
    CHECK(crashed("inventario") <= crashes_allowed);
}

// Guards against an order that its caller sends under a new id after each failure.
TEST_CASE_FIXTURE(node_crash_fixture,
                  "node, order crashes each upstream that runs it, is refused and others are served") {
    test_response response;
    for (std::size_t n = 0; n < 6; ++n) {
        response = send_new_order(n % 2, "poison");
        wait_until_shared();
    }
    CHECK(crashed("pedidos") <= crashes_allowed);
    CHECK(response.status == 503);
    CHECK(response.verdict() == "not-run");
    // Half of the upstreams have just crashed. An order that meets two of them is refused as not run, and its
    // caller sends it again.
    wait_until("another order is served", [&] {
        const auto other = send_new_order(1, "duct 7");
        CHECK((other.status == 200 || (other.status == 503 && other.verdict() == "not-run")));
        return other.status == 200;
    });
    CHECK(crashed("pedidos") == crashes_allowed);
}

} // namespace berylcrank::testing
