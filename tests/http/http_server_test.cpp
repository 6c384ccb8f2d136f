#include "tests/http/local_server.h"
#include "tests/support/raw_socket.h"

#include <atomic>
#include <doctest/doctest.h>
#include <future>

namespace berylcrank::testing {

namespace {

struct http_server_fixture {
    std::atomic<int> handled_requests{0};
    std::function<void(std::shared_ptr<http_exchange>)> on_request = [](const auto& exchange) {
        exchange->respond({.head = {.status = 200}, .body = exchange->request().body + "!"});
    };
    function_handler handler{[this](auto exchange) {
        ++handled_requests;
        on_request(std::move(exchange));
    }};
    std::unique_ptr<http_server> subject =
        start_server({.max_body_bytes = 1000, .idle_timeout = millis{1000}}, handler);

    raw_connection connect() const { return raw_connection::to(subject->address()); }

    /** Sends a request and reads to the end of the stream. */
    std::string send_and_read_all(const std::string& request) const {
        auto connection = connect();
        connection.send(request);
        return connection.read_all();
    }
};

const std::string post = "POST /x HTTP/1.1\r\nHost: a\r\n";
const std::string get = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

TEST_CASE_FIXTURE(http_server_fixture, "http_server, requests on one connection, responses in order") {
    auto connection = connect();
    connection.send(post + "Content-Length: 1\r\n\r\na" + post + "Content-Length: 1\r\n\r\nb");
    CHECK(connection.read_message().ends_with("a!"));
    CHECK(connection.read_message().ends_with("b!"));
    connection.send(post + "Transfer-Encoding: chunked\r\n\r\n1\r\nc\r\n0\r\n\r\n");
    CHECK(connection.read_message().ends_with("c!"));
    CHECK(subject->totals().requests == 3);
}

// Guards against request smuggling through ambiguous framing, and against unbounded memory use.
TEST_CASE_FIXTURE(http_server_fixture, "http_server, bad or oversized head, refused as not run") {
    const std::string large(20000, 'x');
    const std::vector<std::pair<std::string, std::string>> requests{
        {post + "Content-Length: 1001\r\n\r\n", "413"},
        {post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", "400"},
        {post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
        {"GET /x HTTP/1.1\r\nHost: a\r\nX: " + large + "\r\n\r\n", "431"},
        {"GET /x HTTP/1.0\r\nHost: a\r\n\r\n", "505"}};
    for (const auto& [request, status] : requests) {
        CAPTURE(request.substr(0, 100));
        const auto response = send_and_read_all(request);
        CHECK(response.starts_with("HTTP/1.1 " + status));
        CHECK(header_in(response, "Berylcrank-Verdict") == "not-run");
    }
    const auto n = subject->totals();
    CHECK(n.body_too_large == 1);
    CHECK(n.header_too_large == 1);
    CHECK(n.malformed == 3);
    CHECK(handled_requests == 0);
}

// Guards against a connection reset that discards the 413 response while the caller is still sending its
// body.
TEST_CASE_FIXTURE(http_server_fixture,
                  "http_server, Content-Length too large, caller that sends the whole body reads 413") {
    const std::string body(8U << 20U, 'x'); // Larger than the socket buffers of both ends.
    for (int n = 0; n < 5; ++n) {
        auto connection = connect();
        CHECK(connection.send(post + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"));
        CHECK(connection.send(body));
        CHECK(connection.read_all().starts_with("HTTP/1.1 413"));
    }
}

// libmicrohttpd refuses these requests itself, so only the status and the count can be checked.
TEST_CASE_FIXTURE(http_server_fixture, "http_server, invalid request, refused and counted") {
    const std::string huge(200000, 'x');
    for (const auto& request :
         {post + "Content-Length: -1\r\n\r\n", post + "Content-Length: 1x\r\n\r\na",
          post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "GET /" + huge + " HTTP/1.1\r\n",
          "GET /x HTTP/1.1\r\nHost: a\r\nX: " + huge + "\r\n\r\n"}) {
        CAPTURE(request.substr(0, 100));
        CHECK(send_and_read_all(request).starts_with("HTTP/1.1 4"));
    }
    const auto n = subject->totals();
    CHECK(n.malformed + n.header_too_large + n.body_too_large == 5);
    CHECK(handled_requests == 0);
}

TEST_CASE_FIXTURE(http_server_fixture, "http_server, chunked body above the limit, refused or closed") {
    std::string body;
    for (int i = 0; i < 11; ++i) {
        body += "64\r\n" + std::string(100, 'x') + "\r\n";
    }
    const auto response = send_and_read_all(post + "Transfer-Encoding: chunked\r\n\r\n" + body + "0\r\n\r\n");
    CHECK(response.starts_with("HTTP/1.1 413"));
    CHECK(header_in(response, "Berylcrank-Verdict") == "not-run");
    auto connection = connect();
    connection.send(post + "Transfer-Encoding: chunked\r\n\r\n" + body + body);
    CHECK(connection.wait_closed());
    CHECK(subject->totals().body_too_large == 2);
    CHECK(handled_requests == 0);
}

// Guards against slow callers that hold a connection: every byte restarts the timeout of libmicrohttpd.
TEST_CASE_FIXTURE(http_server_fixture, "http_server, slow head or body, connection is closed") {
    for (const auto& start : {std::string("GET /x HTTP/1.1\r\nX: "), post + "Content-Length: 900\r\n\r\n"}) {
        CAPTURE(start);
        const auto connection = connect();
        CHECK(connection.send(start));
        wait_until([&] {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(50)); // Interval between bytes of the slow caller.
            return !connection.send("x");
        });
    }
    auto stalled = connect();
    stalled.send(post + "Content-Length: 900\r\n\r\n");
    CHECK(stalled.wait_closed());
    CHECK(subject->totals().too_slow == 3);
    CHECK(handled_requests == 0);
}

// Guards against a truncated response that looks complete.
TEST_CASE_FIXTURE(http_server_fixture,
                  "http_server, stream fails, connection closed without the end of the response") {
    for (const bool is_chunked : {false, true}) {
        on_request = [&](const auto& exchange) {
            auto buffer = exchange->start_response(
                {.status = 200}, is_chunked ? std::nullopt : std::optional<std::uint64_t>(6));
            buffer->push(std::string_view("abc"));
            buffer->fail();
        };
        auto connection = connect();
        connection.send(get);
        connection.read_until("\r\n\r\n");
        const auto body = connection.read_all();
        CHECK(body.find("abc") != std::string::npos);
        CHECK_FALSE(body.ends_with("0\r\n\r\n"));
        CHECK(body.size() < 9);
    }
}

TEST_CASE_FIXTURE(http_server_fixture, "http_server, aborted request, connection closed without a response") {
    on_request = [](const auto& exchange) { exchange->abort(); };
    CHECK(send_and_read_all(get).empty());
}

// Guards against undetected disconnects: libmicrohttpd does not poll a suspended connection.
TEST_CASE_FIXTURE(http_server_fixture,
                  "http_server, caller disconnects before or during the response, handler notified once") {
    std::atomic<int> disconnects{0};
    std::promise<std::shared_ptr<http_exchange>> received;
    on_request = [&](const auto& request) {
        request->set_on_disconnect([&] { ++disconnects; });
        received.set_value(request);
    };
    auto connection = connect();
    connection.send(get);
    const auto exchange = received.get_future().get();
    connection.close();
    wait_until([&] { return disconnects == 1; });
    exchange->respond({});

    std::promise<std::shared_ptr<body_buffer>> streamed;
    on_request = [&](const auto& next) {
        next->set_on_disconnect([&] { ++disconnects; });
        streamed.set_value(next->start_response({.status = 200}, std::nullopt));
    };
    auto second = connect();
    second.send(get);
    const auto buffer = streamed.get_future().get();
    second.read_until("\r\n\r\n");
    second.close();
    wait_until([&] { return disconnects == 2; });
    wait_until([&] { return subject->open_exchanges() == 0; });
    CHECK(subject->totals().disconnected == 2);
}

// Guards against a planned stop that breaks requests in flight or keep-alive connections.
TEST_CASE_FIXTURE(http_server_fixture,
                  "http_server, stop_accepting, open connections are served and then closed") {
    std::promise<std::shared_ptr<http_exchange>> received;
    auto open = connect();
    open.send(get);
    open.read_message();
    on_request = [&](const auto& exchange) { received.set_value(exchange); };
    auto busy = connect();
    busy.send(get);
    const auto exchange = received.get_future().get();
    auto unaccepted = connect();
    subject->stop_accepting();
    CHECK_THROWS(connect());
    exchange->respond({.head = {.status = 200}, .body = "late"});
    const auto late = busy.read_message();
    CHECK(late.ends_with("late"));
    CHECK(header_in(late, "Connection") == "close");
    CHECK(busy.wait_closed());
    on_request = [](const auto& next) { next->respond({.head = {.status = 200}, .body = "last"}); };
    for (auto* const connection : {&open, &unaccepted}) {
        connection->send(get);
        CHECK(connection->read_message().ends_with("last"));
        CHECK(connection->wait_closed());
    }
    wait_until([&] { return subject->open_exchanges() == 0; });
}

TEST_CASE_FIXTURE(http_server_fixture,
                  "http_server, destroyed with a pending request, does not hang or crash") {
    std::promise<std::shared_ptr<http_exchange>> received;
    on_request = [&](const auto& exchange) { received.set_value(exchange); };
    auto busy = connect();
    busy.send(get);
    const auto exchange = received.get_future().get();
    subject.reset();
    exchange->respond({});
    CHECK(busy.wait_closed());
}

TEST_CASE("http_server, address in use or not numeric, start fails with an error message") {
    const raw_listener occupied;
    function_handler handler([](const auto&) {});
    CHECK_THROWS_WITH_AS(start_server({.address = "localhost:0"}, handler),
                         "\"localhost:0\" is not an IP address and port", std::runtime_error);
    CHECK_THROWS(start_server({.address = occupied.address()}, handler));
}

} // namespace berylcrank::testing
