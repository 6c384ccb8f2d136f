#include "modules/berylcrank_node/request/idempotent_flow.h"
#include "modules/berylcrank_node/request/message_forwarding.h"
#include "tests/http/fixed_router.h"
#include "tests/http/local_server.h"
#include "tests/support/raw_socket.h"

#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

/** A relay with two upstreams that the test itself implements. */
struct idempotent_flow_fixture {
    raw_listener upstreams[2];
    fixed_router router{{upstreams[0].address(), upstreams[1].address()}};
    std::unique_ptr<upstream_client> client = make_upstream_client({.threads = 1});
    steady_clock time;
    idempotent_flow subject{{.stall = millis{300}, .id_prefix = "t"}, router, *client, time};
    request_class kind{request_class::lookup};
    function_handler handler{[this](auto exchange) {
        const auto path = exchange->request().path;
        subject.run({.exchange = std::move(exchange), .service = "s", .request_class = kind, .path = path});
    }};
    std::unique_ptr<http_server> server = start_server({}, handler);
    raw_connection caller = raw_connection::to(server->address());

    ~idempotent_flow_fixture() {
        server.reset();
        client.reset(); // Its callbacks use the members above.
    }

    void send(const std::string& method = "GET", const std::string& headers = {}) const {
        caller.send(method + " /x HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n");
    }

    /** Reads a request at an upstream and returns it. Sends a response with its request id and `headers`. */
    static std::string serve(raw_connection& connection, const std::string& status,
                             const std::string& headers, const std::string& body) {
        auto request = connection.read_message();
        connection.send("HTTP/1.1 " + status + "\r\nBerylcrank-Request-Id: " +
                        header_in(request, "Berylcrank-Request-Id") + "\r\n" + headers + "\r\n\r\n" + body);
        return request;
    }

    void wait_idle() const {
        wait_until([&] { return server->open_exchanges() == 0; });
    }
};

const std::string large_body(100000, 'x');
const std::string large_head = "ETag: \"v1\"\r\nContent-Length: 100000";

/** Returns the headers of a 206 response with the part of `large_body` after its first `n` bytes. */
std::string remainder_head(std::size_t n, const std::string& etag = "\"v1\"") {
    return "ETag: " + etag + "\r\nContent-Range: bytes " + std::to_string(n) +
           "-99999/100000\r\nContent-Length: " + std::to_string(100000 - n);
}

} // namespace

TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, complete response, forwarded without internal headers") {
    send("GET", "Connection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\nBerylcrank-Timeout-Ms: 900\r\n");
    auto upstream = upstreams[0].accept();
    const auto request =
        serve(upstream, "200 OK", "Berylcrank-Load: in_flight=1\r\nX-A: 3\r\nContent-Length: 2", "ok");
    CHECK(header_in(request, "X-Hop").empty());
    CHECK(header_in(request, "X-End") == "2");
    const auto timeout_left_ms = std::stoi(header_in(request, "Berylcrank-Timeout-Ms"));
    CHECK(timeout_left_ms > 0);
    CHECK(timeout_left_ms <= 900);
    const auto response = caller.read_message();
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.ends_with("\r\n\r\nok"));
    CHECK(header_in(response, "Berylcrank-Verdict") == "ran");
    CHECK(header_in(response, "X-A") == "3");
    CHECK(header_in(response, "Berylcrank-Load").empty());
    CHECK(header_in(response, "Berylcrank-Request-Id").empty());
}

TEST_CASE_FIXTURE(idempotent_flow_fixture, "idempotent_flow, HEAD, Content-Length without a body") {
    send("HEAD");
    auto upstream = upstreams[0].accept();
    serve(upstream, "200 OK", "Content-Length: 100000", "");
    CHECK(header_in(caller.read_until("\r\n\r\n"), "Content-Length") == "100000");
    send();
    serve(upstream, "200 OK", "Content-Length: 2", "ok");
    CHECK(caller.read_message().ends_with("\r\n\r\nok"));
}

// Covers each way to lose the response before any byte of it is sent to the caller.
TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, lookup fails at one upstream, retried at the other") {
    const std::vector<std::function<void(raw_connection&)>> failures{
        [](auto& connection) { connection.read_message(); },
        [](auto& connection) {
            connection.read_message();
            connection.reset();
        },
        [](auto& connection) { serve(connection, "200 OK", "Content-Length: 3", "ok"); },
        [](auto& connection) {
            serve(connection, "200 OK", "Transfer-Encoding: chunked", "2\r\nok\r\nzz\r\n");
        },
        [](auto& connection) {
            serve(connection, "503 Busy", "Berylcrank-Verdict: not-run\r\nContent-Length: 0", "");
        },
        [](auto& connection) {
            connection.read_message(), connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }};
    std::optional<raw_connection> healthy;
    for (const auto& failure : failures) {
        send();
        {
            auto faulty = upstreams[0].accept();
            failure(faulty);
        }
        if (!healthy) {
            healthy.emplace(upstreams[1].accept());
        }
        serve(*healthy, "200 OK", "Content-Length: 2", "ok");
        CHECK(caller.read_message().ends_with("\r\n\r\nok"));
    }
    CHECK(subject.counted().retries == failures.size());
}

TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, upstream rejects with Berylcrank-Retry: no, no retry") {
    send();
    auto upstream = upstreams[0].accept();
    serve(upstream, "503 Busy", "Berylcrank-Verdict: not-run\r\nBerylcrank-Retry: no\r\nContent-Length: 0",
          "");
    const auto response = caller.read_message();
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(header_in(response, "Berylcrank-Verdict") == "not-run");
    CHECK(header_in(response, "Berylcrank-Retry") == "no");
    CHECK(router.requests().size() == 1);
}

// Guards against the verdict "not-run" when an upstream may have run the request.
TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, all upstreams fail, verdict covers all attempts") {
    send();
    for (const auto& listener : upstreams) {
        listener.accept().read_message();
    }
    const auto response = caller.read_message();
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(header_in(response, "Berylcrank-Verdict") == "may-have-run");
    CHECK(header_in(response, "Berylcrank-Retry") == "no");
    CHECK(router.requests().back().is_retry);
}

TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, deadline passes, caller refused and upstream connection closed") {
    send("GET", "Berylcrank-Timeout-Ms: 60\r\n");
    auto upstream = upstreams[0].accept();
    upstream.read_message();
    const auto response = caller.read_message();
    CHECK(response.starts_with("HTTP/1.1 504"));
    CHECK(header_in(response, "Berylcrank-Verdict") == "may-have-run");
    CHECK(upstream.wait_closed());
}

TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, caller disconnects, upstream connection closed") {
    send();
    auto upstream = upstreams[0].accept();
    upstream.read_message();
    caller.close();
    CHECK(upstream.wait_closed());
    wait_until([&] { return router.ends().size() == 1; });
    CHECK(subject.counted().cancelled == 1);
    CHECK(router.ends() == std::vector{attempt_end::cancelled});
}

TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, download interrupted twice, resumed to the last byte") {
    kind = request_class::download;
    send("GET", "Range: bytes=0-\r\nIf-Range: \"v0\"\r\n");
    upstreams[0].accept().read_message(); // Fails before the first byte, so the whole request is retried.
    auto second = upstreams[1].accept();
    serve(second, "200 OK", large_head, large_body.substr(0, 70000));
    caller.read_until("\r\n\r\n");
    auto body = caller.read(70000);
    second.close();
    auto third = upstreams[0].accept();
    const auto request =
        serve(third, "206 Partial Content", remainder_head(70000), large_body.substr(0, 10000));
    CHECK(header_in(request, "Range") == "bytes=70000-99999");
    CHECK(header_in(request, "If-Range") == "\"v1\"");
    body += caller.read(10000);
    auto fourth = upstreams[1].accept(); // Begins when the third attempt reaches the stall timeout.
    serve(fourth, "206 Partial Content", remainder_head(80000), large_body.substr(80000));
    body += caller.read(20000);
    CHECK(body == large_body);
    wait_idle();
    CHECK(subject.counted().resumed == 2);
    CHECK(subject.counted().aborted == 0);
}

// Guards against a body joined from parts of two versions.
TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, resumed part does not match, caller's connection closed") {
    kind = request_class::download;
    const std::vector<std::pair<std::string, std::string>> responses{
        {"200 OK", large_head},
        {"206 Partial Content", remainder_head(70000, "\"v2\"")},
        {"206 Partial Content", remainder_head(69999)},
        {"206 Partial Content", "ETag: \"v1\"\r\nContent-Length: 30000"},
        {"404 Not Found", "Content-Length: 0"}};
    for (const auto& [status, headers] : responses) {
        CAPTURE(headers);
        auto connection = raw_connection::to(server->address());
        connection.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        auto first = upstreams[0].accept();
        serve(first, "200 OK", large_head, large_body.substr(0, 70000));
        connection.read_until("\r\n\r\n");
        connection.read(70000);
        first.close();
        auto second = upstreams[1].accept();
        serve(second, status, headers, "");
        CHECK(connection.read_all().empty());
        CHECK(second.wait_closed());
    }
    CHECK(subject.counted().aborted == responses.size());
}

TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, weak ETag or chunked body, interrupted download stays incomplete") {
    kind = request_class::download;
    const std::string chunk = "186a0\r\n" + large_body + "\r\n";
    for (const auto& [headers, body] : std::vector<std::pair<std::string, std::string>>{
             {"ETag: W/\"v1\"\r\nContent-Length: 100000", large_body.substr(0, 70000)},
             {"ETag: \"v1\"\r\nTransfer-Encoding: chunked", chunk}}) {
        CAPTURE(headers);
        auto connection = raw_connection::to(server->address());
        connection.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        auto upstream = upstreams[0].accept();
        serve(upstream, "200 OK", headers, body);
        upstream.close();
        connection.read_until("\r\n\r\n");
        CHECK_FALSE(connection.read_all().ends_with("0\r\n\r\n"));
    }
    CHECK(subject.counted().aborted == 2);
    CHECK(subject.counted().resumed == 0);
}

TEST_CASE("request_fingerprint, bytes moved between path and body, differs") {
    CHECK(request_fingerprint("GET", "/ab", "c") != request_fingerprint("GET", "/a", "bc"));
    CHECK(request_fingerprint("GET", "/ab", "c") == request_fingerprint("GET", "/ab", "c"));
}

} // namespace berylcrank::testing
