#include "tests/support/platform_deployment.h"
#include "tests/support/raw_socket.h"

#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <set>

namespace berylcrank::testing {

namespace {

struct gateway_path_fixture {
    platform_deployment subject{2, 2};
};

std::string pipelined(const std::string& path, const std::string& id) {
    return "GET " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\n\r\n";
}

} // namespace

// Guards against a failure at any step between caller and upstream, for each kind of request.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "gateway, requests of each kind, returns the upstream's complete response") {
    const auto& node = subject.nodes().front();
    const auto lookup = subject.request(node, "GET", "/l/a?q=1", "id-1");
    CHECK(lookup.status == 200);
    CHECK(lookup.body.size() == 100);
    CHECK(lookup.header("Server-Signature").starts_with("i-lookups"));
    CHECK(lookup.header("Request-Id") == "id-1");
    const auto order = subject.request(node, "POST", "/o/a", "id-2", std::string(5000, 'x'));
    CHECK(order.status == 200);
    CHECK(subject.execution_count("id-2") == 1);
    const auto file = subject.request(node, "GET", "/f/a", "id-3");
    CHECK(file.is_complete);
    CHECK(file.body.size() == 400000);
    CHECK(subject.request(node, "GET", "/none/a", "id-4").status == 404);
}

// Guards against a directory that returns no address, or the address of a node that is not ready.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "directory, two nodes ready and one stops, returns only ready nodes") {
    const auto addresses = [&](const platform_node& node) {
        return send({.address = node.directory, .path = "/api/resolve?name=shop.example&region=r&zone=north"})
            .body;
    };
    const auto first = subject.nodes()[0].front;
    const auto second = subject.nodes()[1].front;
    wait_until("both nodes are listed", [&] {
        const auto body = addresses(subject.nodes()[0]);
        return body.find(first) != std::string::npos && body.find(second) != std::string::npos;
    });
    subject.nodes()[1].process->send(SIGTERM);
    wait_until("the stopping node is no longer listed",
               [&] { return addresses(subject.nodes()[0]).find(second) == std::string::npos; });
    CHECK(addresses(subject.nodes()[0]).find(first) != std::string::npos);
    CHECK(subject.nodes()[1].process->wait_exit() == 0);
}

// Guards against pipelined responses in the order of completion, and against running pipelined lookups
// sequentially.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "gateway, pipelined lookups, responds in order and runs them concurrently") {
    for (const auto* worker : subject.workers_of("lookups")) {
        subject.configure_worker(*worker, "work=150");
    }
    auto connection = raw_connection::to(subject.nodes().front().front);
    const std::string first = pipelined("/l/a", "p-1");
    REQUIRE(connection.send(first + pipelined("/none/a", "p-2") + pipelined("/l/b", "p-3")));
    const auto start = std::chrono::steady_clock::now();
    CHECK(header_in(connection.read_message(), "Request-Id") == "p-1");
    CHECK(connection.read_message().starts_with("HTTP/1.1 404"));
    CHECK(header_in(connection.read_message(), "Request-Id") == "p-3");
    CHECK(std::chrono::steady_clock::now() - start <
          std::chrono::milliseconds(290)); // Sequential lookups take twice 150 ms.
}

// Guards against a connection to an upstream that returns to the pool while its reading is paused, so that
// the response to the next request on it is never read.
TEST_CASE_FIXTURE(
    gateway_path_fixture,
    "gateway, download completes behind a slower lookup, its connection serves the next request") {
    constexpr int rounds = 4;
    // Above the size from which a response is streamed, and complete in the same read.
    constexpr std::size_t file_bytes = 263000;
    for (const auto* worker : subject.workers_of("lookups")) {
        subject.configure_worker(*worker, "work=200");
    }
    for (const auto* worker : subject.workers_of("files")) {
        subject.configure_worker(*worker, "bytes=" + std::to_string(file_bytes));
    }
    const auto& node = subject.nodes().front();
    for (int n = 0; n < rounds; ++n) {
        const auto round = std::to_string(n);
        auto connection = raw_connection::to(node.front);
        REQUIRE(connection.send(pipelined("/l/a", "slow-" + round) + pipelined("/f/a", "file-" + round)));
        CHECK(header_in(connection.read_message(), "Request-Id") == "slow-" + round);
        CHECK(header_in(connection.read_message(), "Request-Id") == "file-" + round);
        const auto next = subject.request(node, "GET", "/f/a", "next-" + round);
        CHECK(next.status == 200);
        CHECK(next.body.size() == file_bytes);
    }
}

// Guards against a parser that loses or misreads heads and bodies that arrive in pieces.
TEST_CASE_FIXTURE(gateway_path_fixture, "gateway, request arrives byte by byte, is read completely") {
    auto connection = raw_connection::to(subject.nodes().front().front);
    const std::string text = "POST /o/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: b-1\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for (const char c : text) {
        REQUIRE(connection.send(std::string(1, c)));
    }
    CHECK(connection.read_message().starts_with("HTTP/1.1 200"));
    CHECK(subject.execution_count("b-1") == 1);
}

// Guards against a planned stop that aborts requests in flight, and against a node that does not exit.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "gateway, stopped while a request runs, responds and exits within the grace period") {
    for (const auto* worker : subject.workers_of("orders")) {
        subject.configure_worker(*worker, "work=900");
    }
    const auto& node = subject.nodes().front();
    auto connection = raw_connection::to(node.front);
    REQUIRE(connection.send("POST /o/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: s-1\r\n"
                            "Content-Length: 2\r\n\r\nhi"));
    wait_until("the order runs", [&] { return subject.execution_count("s-1") == 1; });
    node.process->send(SIGTERM);
    const auto response = connection.read_message();
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(header_in(response, "Connection") == "close");
    CHECK(connection.wait_closed());
    CHECK(node.process->wait_exit(6000) == 0);
    CHECK(subject.execution_count("s-1") == 1);
}

// Guards against a pipelined lookup that is aborted because the response before it closes the connection.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "gateway, stopped while pipelined lookups run, responds to all of them") {
    for (const auto* worker : subject.workers_of("lookups")) {
        subject.configure_worker(*worker, "work=500");
    }
    const auto& node = subject.nodes().front();
    auto connection = raw_connection::to(node.front);
    REQUIRE(connection.send(pipelined("/l/a", "q-1") + pipelined("/l/b", "q-2")));
    wait_until("both lookups run",
               [&] { return subject.execution_count("q-1") + subject.execution_count("q-2") == 2; });
    node.process->send(SIGTERM);
    const auto first = connection.read_message();
    CHECK(first.starts_with("HTTP/1.1 200"));
    CHECK(header_in(first, "Request-Id") == "q-1");
    const auto second = connection.read_message();
    CHECK(second.starts_with("HTTP/1.1 200"));
    CHECK(header_in(second, "Request-Id") == "q-2");
    CHECK(header_in(second, "Connection") == "close");
    CHECK(connection.wait_closed());
    CHECK(node.process->wait_exit(6000) == 0);
}

// Guards against forwarding a request that arrives after a planned stop has shut its connection down.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "gateway, request arrives while the idle connection is being closed, is not forwarded") {
    const auto& node = subject.nodes().front();
    auto connection = raw_connection::to(node.front);
    REQUIRE(connection.send(pipelined("/l/a", "c-1")));
    connection.read_message();
    node.process->send(SIGTERM);
    CHECK(connection.read_all().empty()); // The end of the stream.
    connection.send(pipelined("/l/a", "c-2"));
    CHECK(node.process->wait_exit(7000) == 0);
    CHECK(subject.execution_count("c-2") == 0);
}

// Guards against an upstream that keeps working for a caller that has disconnected.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "gateway, caller of a lookup disconnects, closes the connection to the upstream") {
    for (const auto* worker : subject.workers_of("lookups")) {
        subject.configure_worker(*worker, "work=400");
    }
    const auto& node = subject.nodes().front();
    auto connection = raw_connection::to(node.front);
    REQUIRE(connection.send(pipelined("/l/a", "g-1")));
    wait_until("the lookup runs", [&] { return subject.execution_count("g-1") == 1; });
    connection.close();
    node.process->wait_line("\"event\":\"caller-left\",\"request\":\"g-1\"");
    node.process->wait_line("\"event\":\"answered\",\"request\":\"g-1\"");
}

// Guards against a node that continues to process a request which ended while a part of its response was
// being written.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "gateway, callers reset their connections during large downloads, keeps serving") {
    constexpr int callers = 40;
    for (const auto* worker : subject.workers_of("files")) {
        subject.configure_worker(*worker, "bytes=4000000&work=1");
    }
    const auto& node = subject.nodes().front();
    for (int i = 0; i < callers; ++i) {
        auto connection = raw_connection::to(node.front);
        REQUIRE(connection.send(pipelined("/f/a", "d-" + std::to_string(i))));
        connection.read_until("\r\n\r\n");
        connection.reset();
    }
    const auto response = subject.request(node, "GET", "/l/a", "after");
    CHECK(response.status == 200);
    node.process->send(SIGTERM);
    CHECK(node.process->wait_exit(7000) == 0);
}

} // namespace berylcrank::testing
