#include "tests/support/platform_deployment.h"
#include "tests/support/raw_socket.h"

#include <chrono>
#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

using std::chrono::milliseconds;

// Of the caller, below that of the routes (2 s).
constexpr milliseconds deadline{1500};
// From the deadline until the caller must know the result: half a second, and time for a busy machine.
constexpr milliseconds final_within{900};

struct timed_response {
    test_response response;
    milliseconds took;
};

struct gateway_silence_fixture {
    platform_deployment subject{1, 2};

    [[nodiscard]] const platform_node& node() { return subject.nodes().front(); }

    void configure_workers(const std::string& service, const std::string& settings) {
        for (const auto* worker : subject.workers_of(service)) {
            subject.configure_worker(*worker, settings);
        }
    }

    // Adds a route /long/ to the service "files" whose requests may take 9 s.
    void add_long_route() {
        subject.put_operator_record("config", platform_deployment::config(2, R"({"name":"long",
            "path-prefix":"/long/","kind":"download","timeout-s":9,"target-latency-s":5,"max-attempts":1,
            "priority":1,"service":"files"},)"));
        node().process->wait_line("\"event\":\"config-applied\",\"version\":2");
    }

    timed_response request(const std::string& method, const std::string& path, const std::string& id) {
        const auto start = std::chrono::steady_clock::now();
        auto response = platform_deployment::request(node(), method, path, id, method == "POST" ? "x" : "");
        const auto took = std::chrono::steady_clock::now() - start;
        return {.response = std::move(response), .took = std::chrono::duration_cast<milliseconds>(took)};
    }
};

} // namespace

// Guards against a caller that waits for seconds after the deadline because its upstream has begun a response
// and gone silent.
TEST_CASE_FIXTURE(
    gateway_silence_fixture,
    "gateway, upstream is silent in a response not passed on, responds with 504 at the deadline") {
    configure_workers("orders", "mode=pieces&pause=60000");
    const auto it = request("POST", "/o/a", "s-order");
    CHECK(it.response.is_complete);
    CHECK(it.response.status == 504);
    CHECK(it.took >= deadline - milliseconds(50));
    CHECK(it.took < deadline + final_within);
    CHECK(subject.execution_count("s-order") == 1);
}

// Guards against the same in a response of which the caller has a part: it must be cut, never completed.
TEST_CASE_FIXTURE(gateway_silence_fixture,
                  "gateway, upstream is silent in a streamed response, aborts it after the deadline") {
    configure_workers("files", "mode=pieces&pause=60000&bytes=800000");
    const auto it = request("GET", "/f/a", "s-file");
    CHECK(it.response.status == 200);
    CHECK_FALSE(it.response.is_complete);
    CHECK(it.took >= deadline - milliseconds(50));
    CHECK(it.took < deadline + final_within);
}

// Guards against a streamed response that is cut although its caller and its route allow more time.
TEST_CASE_FIXTURE(
    gateway_silence_fixture,
    "gateway, upstream is silent for a time before the deadline, completes the streamed response") {
    add_long_route();
    configure_workers("files", "mode=pieces&pause=5600&bytes=800000");
    const auto response = send({.address = node().front,
                                .path = "/long/a",
                                .headers = {{"Host", "shop.example"}, {"Request-Id", "s-long"}},
                                .timeout_ms = 20000});
    CHECK(response.status == 200);
    CHECK(response.is_complete);
    CHECK(response.body.size() == 800000);
}

// Guards against late responses that are cut or replaced although they make progress.
TEST_CASE_FIXTURE(gateway_silence_fixture,
                  "gateway, responses make progress past the deadline, delivers all of them") {
    configure_workers("files", "mode=pieces&pieces=40&pause=50&bytes=800000");
    configure_workers("orders", "mode=pieces&pieces=40&pause=50&bytes=4000");
    const auto file = request("GET", "/f/a", "p-file");
    CHECK(file.response.is_complete);
    CHECK(file.response.body.size() == 800000);
    CHECK(file.took > deadline);
    const auto order = request("POST", "/o/a", "p-order");
    CHECK(order.response.is_complete);
    CHECK(order.response.status == 200);
    CHECK(order.response.body.size() == 4000);
    CHECK(order.took > deadline);
}

// Guards against a download that is cut because its caller reads slowly: the node pauses reading, so its
// upstream cannot send.
TEST_CASE_FIXTURE(gateway_silence_fixture,
                  "gateway, caller does not read until after the deadline, delivers the whole download") {
    constexpr std::size_t body_bytes = 32000000; // more than the buffers of all sockets hold
    configure_workers("files", "bytes=" + std::to_string(body_bytes));
    const auto start = std::chrono::steady_clock::now();
    auto connection = raw_connection::to(node().front);
    REQUIRE(connection.send("GET /f/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: slow-caller\r\n"
                            "Request-Timeout-Ms: 1500\r\n\r\n"));
    wait_until("the deadline and the limit of silence have passed",
               [&] { return std::chrono::steady_clock::now() - start > deadline + final_within; });
    CHECK(connection.read_message().size() > body_bytes);
}

// Guards against lookups that fail because of one silent upstream while another one is free, and against an
// order that is sent again.
TEST_CASE_FIXTURE(
    gateway_silence_fixture,
    "gateway, one upstream is silent in the middle of responses, serves lookups from the other") {
    constexpr int requests = 6;
    subject.configure_worker(*subject.workers_of("lookups")[0], "mode=pieces&pause=60000");
    subject.configure_worker(*subject.workers_of("orders")[0], "mode=pieces&pause=60000");
    int hedged = 0;
    for (int n = 0; n < requests; ++n) {
        const auto id = "h-" + std::to_string(n);
        const auto it = request("GET", "/l/a", id);
        CHECK(it.response.status == 200);
        CHECK(it.response.body.size() == 100);
        const auto runs = subject.execution_count(id);
        CHECK(runs <= 2); // max-attempts of the route
        hedged += runs == 2 ? 1 : 0;
    }
    CHECK(hedged > 0);
    for (int n = 0; n < 2; ++n) {
        const auto id = "h-order-" + std::to_string(n);
        request("POST", "/o/a", id);
        CHECK(subject.execution_count(id) == 1);
    }
}

} // namespace berylcrank::testing
