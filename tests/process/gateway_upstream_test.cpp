#include "tests/support/platform_deployment.h"
#include "tests/support/raw_socket.h"

#include <chrono>
#include <csignal>
#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

struct gateway_upstream_fixture {
    platform_deployment subject{1, 2};

    [[nodiscard]] const platform_node& node() { return subject.nodes().front(); }

    void configure_workers(const std::string& service, const std::string& settings) {
        for (const auto* worker : subject.workers_of(service)) {
            subject.configure_worker(*worker, settings);
        }
    }
};

} // namespace

// Guards against an order that runs twice, and against the verdict "not run" for one that may have run.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, upstream aborts an order's response, responds with 502 and never retries") {
    for (const auto* mode : {"reset", "truncate", "unframed-reset"}) {
        configure_workers("orders", std::string("mode=") + mode);
        const auto id = std::string("o-") + mode;
        const auto response = subject.request(node(), "POST", "/o/a", id, "x");
        CHECK(response.status == 502);
        CHECK(response.header("Server-Signature").empty());
        CHECK(subject.execution_count(id) == 1);
    }
}

// Guards against a malformed status that reaches the caller or keeps it waiting, and against a second run of
// the order.
TEST_CASE_FIXTURE(
    gateway_upstream_fixture,
    "gateway, upstream responds to an order with status 000, responds with 502 and never retries") {
    configure_workers("orders", "mode=status-000");
    const auto response = subject.request(node(), "POST", "/o/a", "o-000", "x");
    CHECK(response.status == 502);
    CHECK(response.header("Server-Signature").empty());
    CHECK(subject.execution_count("o-000") == 1);
}

// Guards against a malformed status of one upstream that fails a lookup which another can serve.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, one upstream responds to lookups with status 000, serves them from the other") {
    subject.configure_worker(*subject.workers_of("lookups")[0], "mode=status-000");
    for (int n = 0; n < 4; ++n) {
        const auto response = subject.request(node(), "GET", "/l/a", "l-000-" + std::to_string(n));
        CHECK(response.status == 200);
        CHECK(response.body.size() == 100);
    }
}

// Guards against interim responses without end, which are read until the deadline of the request.
TEST_CASE_FIXTURE(
    gateway_upstream_fixture,
    "gateway, upstreams send interim responses without end, ends requests before the deadline") {
    configure_workers("orders", "mode=endless-interim");
    const auto order = subject.request(node(), "POST", "/o/a", "o-interim", "x");
    CHECK(order.status == 502); // 504 at the deadline
    CHECK(subject.execution_count("o-interim") == 1);
    subject.configure_worker(*subject.workers_of("lookups")[0], "mode=endless-interim");
    for (int n = 0; n < 4; ++n) {
        const auto response = subject.request(node(), "GET", "/l/a", "l-interim-" + std::to_string(n));
        CHECK(response.status == 200);
        CHECK(response.body.size() == 100);
    }
}

// Guards against the same in health checks, which are read until their timeout.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, health check sends interim responses without end, fails before its timeout") {
    for (const auto& it : subject.workers()) {
        subject.configure_worker(it, "mode=endless-interim-health");
    }
    wait_until("health checks have failed without a timeout", [&] {
        return send({.address = node().control, .path = "/metrics"}).body.find("result=\"failed\"") !=
               std::string::npos;
    });
}

// Guards against a 503 response without Retry-After, and against one for an order that ran.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, all upstreams shed an order, responds with 503 and does not run it") {
    configure_workers("orders", "mode=shed");
    const auto response = subject.request(node(), "POST", "/o/a", "o-shed", "x");
    CHECK(response.status == 503);
    CHECK(std::stod(response.header("Retry-After")) > 0);
    CHECK(subject.execution_count("o-shed") == 0);
}

// Guards against an order that ran and whose caller is told by the status that it did not, so that it sends
// the order again and it runs twice.
TEST_CASE_FIXTURE(
    gateway_upstream_fixture,
    "gateway, upstream runs an order and responds with a status that states not run, responds with 502") {
    for (const int status : {408, 429, 503}) {
        for (const int bytes : {0, 100, 400000}) { // the longest is streamed while it arrives
            CAPTURE(status);
            CAPTURE(bytes);
            configure_workers("orders", "mode=ran-with-status&status=" + std::to_string(status) +
                                            "&bytes=" + std::to_string(bytes));
            const auto id = "o-ran-" + std::to_string(status) + '-' + std::to_string(bytes);
            const auto response = subject.request(node(), "POST", "/o/a", id, "x");
            CHECK(response.status == 502);
            CHECK(response.header("Server-Signature").empty());
            CHECK(response.header("Retry-After").empty());
            CHECK(response.body.empty());
            CHECK(subject.execution_count(id) == 1);
        }
    }
}

// Guards against a check that also withholds the response to a request that may run twice.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, all upstreams respond to a lookup with 503 of their own, forwards it unchanged") {
    configure_workers("lookups", "mode=ran-with-status&status=503");
    const auto response = subject.request(node(), "GET", "/l/a", "l-ran");
    CHECK(response.status == 503);
    CHECK_FALSE(response.header("Server-Signature").empty());
    CHECK(response.body.size() == 100);
}

// Guards against an order that fails although another upstream would accept it.
TEST_CASE_FIXTURE(gateway_upstream_fixture, "gateway, one upstream sheds an order, the other runs it once") {
    subject.configure_worker(*subject.workers_of("orders")[0], "mode=shed");
    for (int n = 0; n < 6; ++n) {
        const auto id = "o-one-" + std::to_string(n);
        CHECK(subject.request(node(), "POST", "/o/a", id, "x").status == 200);
        CHECK(subject.execution_count(id) == 1);
    }
}

// Guards against lookups that fail although another upstream is healthy.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, one upstream fails lookups, serves them from the other") {
    for (const auto* mode : {"reset", "truncate", "error", "unframed-reset"}) {
        subject.configure_worker(*subject.workers_of("lookups")[0], std::string("mode=") + mode);
        for (int n = 0; n < 4; ++n) {
            const auto response =
                subject.request(node(), "GET", "/l/a", std::string(mode) + std::to_string(n));
            CHECK(response.status == 200);
            CHECK(response.body.size() == 100);
        }
    }
}

// Guards against a caller that gets the response to another request, or bytes outside any response.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, upstream sends extra or late responses, each caller gets its own response") {
    for (const auto* mode : {"extra", "late"}) {
        configure_workers("lookups", std::string("mode=") + mode);
        for (int n = 0; n < 8; ++n) {
            const auto id = std::string(mode) + std::to_string(n);
            const auto response = subject.request(node(), "GET", "/l/a", id);
            CHECK(response.status == 200);
            CHECK(response.header("Request-Id") == id);
            CHECK(response.header("Server-Signature").starts_with("i-lookups"));
        }
    }
}

// Guards against a caller that is told "not run" for an order that ran, and against an order that runs at a
// second upstream, because an earlier refusal arrives again on the connection.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, upstream repeats an earlier refusal, applies it to no other request") {
    constexpr int requests = 24;
    for (const std::string mode : {"shed-again", "shed-again-unnamed"}) {
        CAPTURE(mode);
        configure_workers("orders", "mode=" + mode);
        configure_workers("lookups", "mode=" + mode);
        int served = 0;
        for (int n = 0; n < requests; ++n) {
            const auto id = mode + std::to_string(n);
            const auto response = subject.request(node(), "POST", "/o/a", id, "x");
            const auto runs = subject.execution_count(id);
            CHECK(runs <= 1);
            CHECK((response.status != 503 || runs == 0));
            CHECK((response.status != 200 || response.header("Request-Id") == id));
            served += response.status == 200 ? 1 : 0;
            const auto lookup = subject.request(node(), "GET", "/l/a", "l-" + id);
            CHECK((lookup.status == 200 || lookup.status == 503 || lookup.status == 502));
            CHECK((lookup.status != 200 || lookup.header("Request-Id") == "l-" + id));
        }
        // A refusal without an id never leads to a served order: it cannot be told apart from a new one.
        CHECK((served > 0 || mode == "shed-again-unnamed"));
        configure_workers("orders", "mode=good");
        const auto id = mode + "-good";
        CHECK(subject.request(node(), "POST", "/o/a", id, "x").status == 200);
        CHECK(subject.execution_count(id) == 1);
    }
}

// Guards against the same with several requests in flight on one connection of the caller.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, upstream repeats refusals of pipelined lookups, each gets its own response") {
    configure_workers("lookups", "mode=shed-again");
    for (int round = 0; round < 8; ++round) {
        auto connection = raw_connection::to(node().front);
        std::string text;
        for (int n = 0; n < 4; ++n) {
            text += "GET /l/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: p-" + std::to_string(round) +
                    "-" + std::to_string(n) + "\r\n\r\n";
        }
        REQUIRE(connection.send(text));
        for (int n = 0; n < 4; ++n) {
            const auto response = connection.read_message();
            const auto id = header_in(response, "Request-Id");
            CHECK((id.empty() ? !response.starts_with("HTTP/1.1 200")
                              : id == "p-" + std::to_string(round) + "-" + std::to_string(n)));
        }
    }
}

// Guards against a truncated response that appears complete, and against a complete response without a length
// that is treated as failed.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, download without length, is complete only after an orderly close") {
    configure_workers("files", "mode=unframed");
    const auto complete = subject.request(node(), "GET", "/f/a", "u-1");
    CHECK(complete.is_complete);
    CHECK(complete.body.size() == 400000);
    configure_workers("files", "mode=truncate");
    const auto truncated = subject.request(node(), "GET", "/f/a", "u-2");
    CHECK_FALSE((truncated.is_complete && truncated.status == 200));
}

// Guards against requests that are held past their timeout.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, upstream does not respond, responds with 504 at the timeout") {
    configure_workers("orders", "mode=mute");
    const auto start = std::chrono::steady_clock::now();
    const auto response = subject.request(node(), "POST", "/o/a", "m-1", "x");
    const auto elapsed = std::chrono::steady_clock::now() - start;
    CHECK(response.status == 504);
    CHECK(elapsed >= std::chrono::milliseconds(1450)); // The caller's timeout is 1.5 s.
    CHECK(elapsed < std::chrono::milliseconds(1750));
}

// Guards against requests to a different upstream that now has the address of the intended one.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, address belongs to another upstream, sends lookups to the correct one") {
    auto& moved = *subject.workers_of("lookups")[0];
    const auto address = moved.address;
    moved.address = subject.workers_of("orders")[0]->address; // Responds with 421 for `moved.id`.
    subject.put_worker_record(moved, "ready", 2);
    node().process->wait_line("\"upstream\":\"" + moved.id + "\",\"service\":\"lookups\",\"address\":\"" +
                              moved.address);
    moved.address = address;
    for (int n = 0; n < 6; ++n) {
        const auto response = subject.request(node(), "GET", "/l/a", "w-" + std::to_string(n));
        CHECK(response.status == 200);
        CHECK(response.header("Server-Signature") == "i-lookups1");
    }
}

// Guards against later requests that fail because one upstream was killed.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, one upstream is killed, serves the next requests elsewhere") {
    subject.workers_of("orders")[0]->process->send(SIGKILL);
    subject.workers_of("orders")[0]->process->wait_exit();
    int served = 0;
    for (int n = 0; n < 10; ++n) {
        served +=
            subject.request(node(), "POST", "/o/a", "k-" + std::to_string(n), "x").status == 200 ? 1 : 0;
    }
    CHECK(served == 10); // A failed connect sends nothing, so an order can be retried.
}

// Guards against a lookup that waits for an unresponsive upstream until its deadline, and against a second
// attempt of an order.
TEST_CASE_FIXTURE(gateway_upstream_fixture,
                  "gateway, upstream stops responding, sends only lookups to another one") {
    for (int n = 0; n < 40; ++n) { // Gives the node median durations of lookups and orders.
        subject.request(node(), "GET", "/l/a", "learn-" + std::to_string(n));
        subject.request(node(), "POST", "/o/a", "learn-o-" + std::to_string(n), "x");
    }
    subject.configure_worker(*subject.workers_of("lookups")[0], "mode=mute");
    subject.configure_worker(*subject.workers_of("orders")[0], "mode=mute");
    for (int n = 0; n < 6; ++n) {
        const auto id = "silent-" + std::to_string(n);
        CHECK(subject.request(node(), "GET", "/l/a", id).status == 200);
        CHECK(subject.execution_count(id) <= 2);
    }
    for (int n = 0; n < 3; ++n) {
        const auto id = "silent-o-" + std::to_string(n);
        subject.request(node(), "POST", "/o/a", id, "x");
        CHECK(subject.execution_count(id) <= 1);
    }
}

} // namespace berylcrank::testing
