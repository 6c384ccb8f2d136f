#include "modules/berylcrank_node/request/idempotent_flow.h"
#include "modules/berylcrank_node/request/message_forwarding.h"
#include "tests/http/fixed_router.h"
#include "tests/http/local_server.h"
#include "tests/support/raw_socket.h"

#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

/** A relay whose two upstreams are played by the test. */
struct idempotent_flow_fixture {
    raw_listener upstreams[2];
    fixed_router router{{upstreams[0].address(), upstreams[1].address()}};
    std::unique_ptr<upstream_client> client = make_upstream_client({.threads = 1});
    steady_clock time;
    idempotent_flow subject{{.stall = millis{300}, .id_prefix = "t"}, router, *client, time};
    request_class kind{request_class::lookup};
    function_handler handler{[this](auto it) {
        const auto path = it->request().path;
        subject.run({.exchange = std::move(it), .service = "s", .request_class = kind, .path = path});
    }};
    std::unique_ptr<http_server> server = start_server({}, handler);
    raw_connection caller = raw_connection::to(server->address());

    ~idempotent_flow_fixture() {
        server.reset();
        client.reset(); // Its events use the members above.
    }

    void send(const std::string& method = "GET", const std::string& headers = {}) const {
        caller.send(method + " /x HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n");
    }

    /** Takes the request at an upstream and answers it; `headers` begins after the request id. */
    static std::string take(raw_connection& it, const std::string& status, const std::string& headers,
                            const std::string& body) {
        auto request = it.read_message();
        it.send("HTTP/1.1 " + status + "\r\nBerylcrank-Request-Id: " +
                header_in(request, "Berylcrank-Request-Id") + "\r\n" + headers + "\r\n\r\n" + body);
        return request;
    }

    void wait_idle() const {
        wait_until([&] { return server->open_exchanges() == 0; });
    }
};

const std::string big(100000, 'x');
const std::string big_head = "ETag: \"v1\"\r\nContent-Length: 100000";

/** An answer to the rest of `big` after `n` bytes. */
std::string rest_head(std::size_t n, const std::string& etag = "\"v1\"") {
    return "ETag: " + etag + "\r\nContent-Range: bytes " + std::to_string(n) +
           "-99999/100000\r\nContent-Length: " + std::to_string(100000 - n);
}

} // namespace

TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, whole answer, forwarded without private headers") {
    send("GET", "Connection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\nBerylcrank-Timeout-Ms: 900\r\n");
    auto upstream = upstreams[0].accept();
    const auto request =
        take(upstream, "200 OK", "Berylcrank-Load: in_flight=1\r\nX-A: 3\r\nContent-Length: 2", "ok");
    CHECK(header_in(request, "X-Hop").empty());
    CHECK(header_in(request, "X-End") == "2");
    const auto left = std::stoi(header_in(request, "Berylcrank-Timeout-Ms"));
    CHECK(left > 0);
    CHECK(left <= 900);
    const auto answer = caller.read_message();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("\r\n\r\nok"));
    CHECK(header_in(answer, "Berylcrank-Verdict") == "ran");
    CHECK(header_in(answer, "X-A") == "3");
    CHECK(header_in(answer, "Berylcrank-Load").empty());
    CHECK(header_in(answer, "Berylcrank-Request-Id").empty());
}

TEST_CASE_FIXTURE(idempotent_flow_fixture, "idempotent_flow, HEAD, length without a body") {
    send("HEAD");
    auto upstream = upstreams[0].accept();
    take(upstream, "200 OK", "Content-Length: 100000", "");
    CHECK(header_in(caller.read_until("\r\n\r\n"), "Content-Length") == "100000");
    send();
    take(upstream, "200 OK", "Content-Length: 2", "ok");
    CHECK(caller.read_message().ends_with("\r\n\r\nok"));
}

// Each way to lose a whole answer before the caller has seen a byte of it.
TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, lookup fails at one upstream, other one answers") {
    const std::vector<std::function<void(raw_connection&)>> faults{
        [](auto& it) { it.read_message(); },
        [](auto& it) {
            it.read_message();
            it.reset();
        },
        [](auto& it) { take(it, "200 OK", "Content-Length: 3", "ok"); },
        [](auto& it) { take(it, "200 OK", "Transfer-Encoding: chunked", "2\r\nok\r\nzz\r\n"); },
        [](auto& it) { take(it, "503 Busy", "Berylcrank-Verdict: not-run\r\nContent-Length: 0", ""); },
        [](auto& it) { it.read_message(), it.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"); }};
    std::optional<raw_connection> good;
    for (const auto& fault : faults) {
        send();
        {
            auto bad = upstreams[0].accept();
            fault(bad);
        }
        if (!good) {
            good.emplace(upstreams[1].accept());
        }
        take(*good, "200 OK", "Content-Length: 2", "ok");
        CHECK(caller.read_message().ends_with("\r\n\r\nok"));
    }
    CHECK(subject.counted().retries == faults.size());
}

TEST_CASE_FIXTURE(idempotent_flow_fixture, "idempotent_flow, upstream passes overload up, no retry") {
    send();
    auto upstream = upstreams[0].accept();
    take(upstream, "503 Busy", "Berylcrank-Verdict: not-run\r\nBerylcrank-Retry: no\r\nContent-Length: 0",
         "");
    const auto answer = caller.read_message();
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(header_in(answer, "Berylcrank-Verdict") == "not-run");
    CHECK(header_in(answer, "Berylcrank-Retry") == "no");
    CHECK(router.asked().size() == 1);
}

// Guards against the verdict "not run" after an upstream may have run the request.
TEST_CASE_FIXTURE(idempotent_flow_fixture, "idempotent_flow, all upstreams fail, verdict of all attempts") {
    send();
    for (const auto& it : upstreams) {
        it.accept().read_message();
    }
    const auto answer = caller.read_message();
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(header_in(answer, "Berylcrank-Verdict") == "may-have-run");
    CHECK(header_in(answer, "Berylcrank-Retry") == "no");
    CHECK(router.asked().back().is_retry);
}

TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, deadline passes, refused and connection closed") {
    send("GET", "Berylcrank-Timeout-Ms: 60\r\n");
    auto upstream = upstreams[0].accept();
    upstream.read_message();
    const auto answer = caller.read_message();
    CHECK(answer.starts_with("HTTP/1.1 504"));
    CHECK(header_in(answer, "Berylcrank-Verdict") == "may-have-run");
    CHECK(upstream.wait_closed());
}

TEST_CASE_FIXTURE(idempotent_flow_fixture, "idempotent_flow, caller leaves, upstream connection is closed") {
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
                  "idempotent_flow, download breaks twice, continued to the last byte") {
    kind = request_class::download;
    send("GET", "Range: bytes=0-\r\nIf-Range: \"v0\"\r\n");
    upstreams[0].accept().read_message(); // Before the first byte: simply tried again.
    auto second = upstreams[1].accept();
    take(second, "200 OK", big_head, big.substr(0, 70000));
    caller.read_until("\r\n\r\n");
    auto body = caller.read(70000);
    second.close();
    auto third = upstreams[0].accept();
    const auto request = take(third, "206 Partial Content", rest_head(70000), big.substr(0, 10000));
    CHECK(header_in(request, "Range") == "bytes=70000-99999");
    CHECK(header_in(request, "If-Range") == "\"v1\"");
    body += caller.read(10000);
    auto fourth = upstreams[1].accept(); // After the stall limit.
    take(fourth, "206 Partial Content", rest_head(80000), big.substr(80000));
    body += caller.read(20000);
    CHECK(body == big);
    wait_idle();
    CHECK(subject.counted().resumed == 2);
    CHECK(subject.counted().aborted == 0);
}

// Guards against gluing together parts of two versions.
TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, rest does not fit, caller's connection is closed") {
    kind = request_class::download;
    const std::vector<std::pair<std::string, std::string>> answers{
        {"200 OK", big_head},
        {"206 Partial Content", rest_head(70000, "\"v2\"")},
        {"206 Partial Content", rest_head(69999)},
        {"206 Partial Content", "ETag: \"v1\"\r\nContent-Length: 30000"},
        {"404 Not Found", "Content-Length: 0"}};
    for (const auto& [status, headers] : answers) {
        CAPTURE(headers);
        auto it = raw_connection::to(server->address());
        it.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        auto first = upstreams[0].accept();
        take(first, "200 OK", big_head, big.substr(0, 70000));
        it.read_until("\r\n\r\n");
        it.read(70000);
        first.close();
        auto second = upstreams[1].accept();
        take(second, status, headers, "");
        CHECK(it.read_all().empty());
        CHECK(second.wait_closed());
    }
    CHECK(subject.counted().aborted == answers.size());
}

TEST_CASE_FIXTURE(idempotent_flow_fixture,
                  "idempotent_flow, weak tag or chunked, broken download is not whole") {
    kind = request_class::download;
    const std::string chunk = "186a0\r\n" + big + "\r\n";
    for (const auto& [headers, body] : std::vector<std::pair<std::string, std::string>>{
             {"ETag: W/\"v1\"\r\nContent-Length: 100000", big.substr(0, 70000)},
             {"ETag: \"v1\"\r\nTransfer-Encoding: chunked", chunk}}) {
        CAPTURE(headers);
        auto it = raw_connection::to(server->address());
        it.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
        auto upstream = upstreams[0].accept();
        take(upstream, "200 OK", headers, body);
        upstream.close();
        it.read_until("\r\n\r\n");
        CHECK_FALSE(it.read_all().ends_with("0\r\n\r\n"));
    }
    CHECK(subject.counted().aborted == 2);
    CHECK(subject.counted().resumed == 0);
}

TEST_CASE("request_fingerprint, parts moved between path and body, differs") {
    CHECK(request_fingerprint("GET", "/ab", "c") != request_fingerprint("GET", "/a", "bc"));
    CHECK(request_fingerprint("GET", "/ab", "c") == request_fingerprint("GET", "/ab", "c"));
}

} // namespace berylcrank::testing
