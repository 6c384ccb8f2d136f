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

// Guards against a path that fails anywhere between caller and upstream, for each kind of request.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "gateway, requests of each kind, returns the upstream's response whole") {
    const auto& node = subject.nodes().front();
    const auto lookup = subject.request(node, "GET", "/l/a?q=1", "id-1");
    CHECK(lookup.status == 200);
    CHECK(lookup.body.size() == 100);
    CHECK(lookup.header("Server-Signature").starts_with("i-lookups"));
    CHECK(lookup.header("Request-Id") == "id-1");
    const auto order = subject.request(node, "POST", "/o/a", "id-2", std::string(5000, 'x'));
    CHECK(order.status == 200);
    CHECK(subject.runs("id-2") == 1);
    const auto file = subject.request(node, "GET", "/f/a", "id-3");
    CHECK(file.is_whole);
    CHECK(file.body.size() == 400000);
    CHECK(subject.request(node, "GET", "/none/a", "id-4").status == 404);
}

// Guards against callers that are told no address, or that of a node that cannot serve.
TEST_CASE_FIXTURE(gateway_path_fixture, "directory, two nodes ready and one stops, names the ready ones") {
    const auto addresses = [&](const platform_node& node) {
        return send({.address = node.directory, .path = "/api/resolve?name=shop.example&region=r&zone=north"})
            .body;
    };
    const auto first = subject.nodes()[0].front;
    const auto second = subject.nodes()[1].front;
    wait_until("both are named", [&] {
        const auto body = addresses(subject.nodes()[0]);
        return body.find(first) != std::string::npos && body.find(second) != std::string::npos;
    });
    subject.nodes()[1].process->send(SIGTERM);
    wait_until("the stopping node is no longer named",
               [&] { return addresses(subject.nodes()[0]).find(second) == std::string::npos; });
    CHECK(addresses(subject.nodes()[0]).find(first) != std::string::npos);
    CHECK(subject.nodes()[1].process->wait_exit() == 0);
}

// Guards against pipelined responses in the order in which upstreams end, and against running them one by
// one.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "gateway, pipelined lookups, answers in order and runs them side by side") {
    for (const auto* it : subject.workers_of("lookups")) {
        subject.behave(*it, "work=150");
    }
    auto connection = raw_connection::to(subject.nodes().front().front);
    const std::string first = pipelined("/l/a", "p-1");
    REQUIRE(connection.send(first + pipelined("/none/a", "p-2") + pipelined("/l/b", "p-3")));
    const auto start = std::chrono::steady_clock::now();
    CHECK(header_in(connection.read_message(), "Request-Id") == "p-1");
    CHECK(connection.read_message().starts_with("HTTP/1.1 404"));
    CHECK(header_in(connection.read_message(), "Request-Id") == "p-3");
    CHECK(std::chrono::steady_clock::now() - start <
          std::chrono::milliseconds(290)); // twice 150 ms if one by one
}

// Guards against heads and bodies that arrive in pieces being lost or misread.
TEST_CASE_FIXTURE(gateway_path_fixture, "gateway, request arrives byte by byte, is read whole") {
    auto connection = raw_connection::to(subject.nodes().front().front);
    const std::string text = "POST /o/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: b-1\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for (const char c : text) {
        REQUIRE(connection.send(std::string(1, c)));
    }
    CHECK(connection.read_message().starts_with("HTTP/1.1 200"));
    CHECK(subject.runs("b-1") == 1);
}

// Guards against requests that a planned stop cuts off, and against a node that never ends.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "gateway, stopped while a request runs, answers it and ends within the grace") {
    for (const auto* it : subject.workers_of("orders")) {
        subject.behave(*it, "work=900");
    }
    const auto& node = subject.nodes().front();
    auto connection = raw_connection::to(node.front);
    REQUIRE(connection.send("POST /o/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: s-1\r\n"
                            "Content-Length: 2\r\n\r\nhi"));
    wait_until("the order runs", [&] { return subject.runs("s-1") == 1; });
    node.process->send(SIGTERM);
    const auto answer = connection.read_message();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(header_in(answer, "Connection") == "close");
    CHECK(connection.wait_closed());
    CHECK(node.process->wait_exit(6000) == 0);
    CHECK(subject.runs("s-1") == 1);
}

// Guards against a lookup that was passed on and is cut off because the response before it closes the
// connection.
TEST_CASE_FIXTURE(gateway_path_fixture, "gateway, stopped while pipelined lookups run, answers all of them") {
    for (const auto* it : subject.workers_of("lookups")) {
        subject.behave(*it, "work=500");
    }
    const auto& node = subject.nodes().front();
    auto connection = raw_connection::to(node.front);
    REQUIRE(connection.send(pipelined("/l/a", "q-1") + pipelined("/l/b", "q-2")));
    wait_until("both lookups run", [&] { return subject.runs("q-1") + subject.runs("q-2") == 2; });
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

// Guards against a request that is passed on although its connection was already shut down for a planned
// stop.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "gateway, request crosses the close of an idle connection, is not passed on") {
    const auto& node = subject.nodes().front();
    auto connection = raw_connection::to(node.front);
    REQUIRE(connection.send(pipelined("/l/a", "c-1")));
    connection.read_message();
    node.process->send(SIGTERM);
    CHECK(connection.read_all().empty()); // the end of the stream
    connection.send(pipelined("/l/a", "c-2"));
    CHECK(node.process->wait_exit(7000) == 0);
    CHECK(subject.runs("c-2") == 0);
}

// Guards against an upstream that works on for a caller who has left.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "gateway, caller of a lookup leaves, closes the connection to the upstream") {
    for (const auto* it : subject.workers_of("lookups")) {
        subject.behave(*it, "work=400");
    }
    const auto& node = subject.nodes().front();
    auto connection = raw_connection::to(node.front);
    REQUIRE(connection.send(pipelined("/l/a", "g-1")));
    wait_until("the lookup runs", [&] { return subject.runs("g-1") == 1; });
    connection.close();
    node.process->wait_line("\"event\":\"caller-left\",\"request\":\"g-1\"");
    node.process->wait_line("\"event\":\"answered\",\"request\":\"g-1\"");
}

// Guards against a node that goes on with a request which ended while a piece of its response was being
// written.
TEST_CASE_FIXTURE(gateway_path_fixture,
                  "gateway, callers reset their connections during large downloads, goes on") {
    constexpr int callers = 40;
    for (const auto* it : subject.workers_of("files")) {
        subject.behave(*it, "bytes=4000000&work=1");
    }
    const auto& node = subject.nodes().front();
    for (int i = 0; i < callers; ++i) {
        auto connection = raw_connection::to(node.front);
        REQUIRE(connection.send(pipelined("/f/a", "d-" + std::to_string(i))));
        connection.read_until("\r\n\r\n");
        connection.reset();
    }
    const auto answer = subject.request(node, "GET", "/l/a", "after");
    CHECK(answer.status == 200);
    node.process->send(SIGTERM);
    CHECK(node.process->wait_exit(7000) == 0);
}

} // namespace berylcrank::testing
