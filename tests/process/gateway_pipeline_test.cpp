#include "tests/support/platform_deployment.h"
#include "tests/support/raw_socket.h"

#include <csignal>
#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

/** One node and callers that send many requests before the first response. */
struct gateway_pipeline_fixture {
    platform_deployment subject{1, 12}; // more slots than a pipeline has requests
    const platform_node& node{subject.nodes().front()};

    static std::string lookup(const std::string& id, const std::string& path = "/l/a") {
        return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
               "\r\nRequest-Timeout-Ms: 10000\r\n\r\n";
    }

    [[nodiscard]] double level(const std::string& kind) const {
        return platform_deployment::level(node, kind);
    }
};

} // namespace

// Guards against responses that belong to other requests, and requests that are never answered, when a caller
// sends more requests than the pipeline of a connection holds.
TEST_CASE_FIXTURE(gateway_pipeline_fixture,
                  "gateway, hundreds of pipelined lookups, responds to each with its own id in order") {
    constexpr int count = 300;
    auto connection = raw_connection::to(node.front);
    std::string text;
    for (int n = 0; n < count; ++n) {
        text += lookup("p-" + std::to_string(n));
    }
    REQUIRE(connection.send(text));
    for (int n = 0; n < count; ++n) {
        const auto message = connection.read_message();
        REQUIRE(header_in(message, "Request-Id") == "p-" + std::to_string(n));
        CHECK(message.starts_with("HTTP/1.1 200"));
    }
}

// Guards against slots that stay taken for ever, so that the node refuses the service to all callers, when a
// connection with a full pipeline ends.
TEST_CASE_FIXTURE(
    gateway_pipeline_fixture,
    "gateway, callers with full pipelines of downloads disconnect, frees their slots and flows") {
    for (int round = 0; round < 3; ++round) {
        auto connection = raw_connection::to(node.front);
        std::string text;
        for (int n = 0; n < 40; ++n) {
            text += lookup("d-" + std::to_string(round) + "-" + std::to_string(n), "/f/a");
        }
        REQUIRE(connection.send(text));
        wait_until("requests run", [&] { return level("slots_held") > 0; });
        connection.reset();
    }
    wait_until("no flow is left", [&] { return level("flows") == 0; });
    CHECK(level("slots_held") == 0);
    for (int n = 0; n < 8; ++n) {
        CHECK(platform_deployment::request(node, "GET", "/f/a", "after-" + std::to_string(n)).status == 200);
    }
}

// Guards against requests that are cut off by the exit, because a caller that always has a further request
// under way is never asked to close its connection.
TEST_CASE_FIXTURE(
    gateway_pipeline_fixture,
    "gateway, stopped while a caller always has another lookup under way, closes behind a response") {
    for (const auto* worker : subject.workers_of("lookups")) {
        platform_deployment::configure_worker(*worker, "work=100");
    }
    auto connection = raw_connection::to(node.front);
    int sent = 0;
    for (; sent < 4; ++sent) {
        REQUIRE(connection.send(lookup("s-" + std::to_string(sent))));
    }
    CHECK(connection.read_message().starts_with("HTTP/1.1 200"));
    node.process->send(SIGTERM);
    node.process->wait_line("\"event\":\"stopping\"");
    const int sent_before = sent;
    int answered = 1;
    std::string last;
    while (header_in(last, "Connection") != "close") {
        connection.send(lookup("s-" + std::to_string(sent++)));
        last = connection.read_message(); // throws if the connection ends without it
        CHECK(header_in(last, "Request-Id") == "s-" + std::to_string(answered++));
    }
    CHECK(answered <= sent_before + 1); // a connection that is idle at the stop carries one more
    CHECK(connection.wait_closed());
    CHECK(node.process->wait_exit(7000) == 0);
    // The worker has run only what was answered.
    for (int n = answered; n < sent; ++n) {
        CHECK(subject.execution_count("s-" + std::to_string(n)) == 0);
    }
}

} // namespace berylcrank::testing
