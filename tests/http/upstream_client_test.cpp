#include "tests/http/recording_observer.h"
#include "tests/support/raw_socket.h"

#include <doctest/doctest.h>
#include <thread>

namespace berylcrank::testing {

namespace {

struct upstream_client_fixture {
    raw_listener listener;
    std::unique_ptr<upstream_client> subject = make_upstream_client({.threads = 1});
    std::shared_ptr<upstream_call> call;

    upstream_request request(const std::string& method, const std::string& body = {}) const {
        return {.upstream = "u",
                .address = listener.address(),
                .method = method,
                .path = "/work?a=%20b",
                .headers = {{"X-Test", "1"}},
                .body = std::make_shared<const std::string>(body),
                .request_id = "id-1",
                .timeout = millis{5000},
                .idempotent = method == "GET"};
    }

    std::shared_ptr<recording_observer> start(const upstream_request& outgoing) {
        auto observer = std::make_shared<recording_observer>();
        call = subject->start(outgoing, observer);
        return observer;
    }

    /** Runs a request. The upstream sends `response` and closes the connection. */
    attempt_result respond_and_close(const std::string& response) {
        const auto observer = start(request("GET"));
        auto connection = listener.accept();
        connection.read_message();
        connection.send(response);
        connection.close();
        last_head_count = observer->head_count;
        const auto result = observer->wait();
        last_head_count = observer->head_count;
        last_body = observer->body;
        return result;
    }

    int last_head_count{0};
    std::string last_body;
};

std::string make_response(const std::string& headers, const std::string& body,
                          const std::string& status = "200 OK") {
    return "HTTP/1.1 " + status + "\r\nBerylcrank-Request-Id: id-1\r\n" + headers + "\r\n\r\n" + body;
}

const std::string complete_response = make_response("Content-Length: 2", "ok");

/** Sends a request on a reused connection that the upstream closes without a response. Returns how many times
    the upstream received the request. */
int count_received_after_close(upstream_client_fixture& fixture, const std::string& method,
                               const std::string& body) {
    const auto first = fixture.start(fixture.request("GET"));
    auto reused = fixture.listener.accept();
    reused.read_message();
    reused.send(complete_response);
    CHECK(first->wait().end == attempt_end::complete);

    const auto observer = fixture.start(fixture.request(method, body));
    std::atomic<int> received{0};
    const auto receive_and_close = [&](raw_connection& connection) {
        try {
            connection.read_message();
            ++received;
        } catch (const std::runtime_error&) {
            // The connection closed before a complete request was received.
        }
        connection.close();
    };
    std::thread old_connection([&] { receive_and_close(reused); });
    std::thread new_connection([&] {
        while (!fixture.listener.receives_no_connection(500)) {
            auto connection = fixture.listener.accept();
            receive_and_close(connection);
        }
    });
    const auto result = observer->wait();
    new_connection.join();
    fixture.subject.reset();
    old_connection.join();
    CHECK(result.verdict == run_verdict::may_have_run);
    CHECK(result.end == attempt_end::reset);
    return received;
}

} // namespace

TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, complete response, verdict ran and connection reused") {
    for (int i = 0; i < 2; ++i) {
        static std::optional<raw_connection> connection;
        const auto observer = start(request("POST", "hello"));
        if (!connection) {
            connection.emplace(listener.accept());
        }
        const auto message = connection->read_message();
        CHECK(message.starts_with("POST /work?a=%20b HTTP/1.1\r\n"));
        CHECK(message.ends_with("\r\n\r\nhello"));
        CHECK(header_in(message, "Berylcrank-Request-Id") == "id-1");
        CHECK(header_in(message, "X-Test") == "1");
        CHECK(header_in(message, "Expect").empty());
        connection->send(complete_response);
        const auto result = observer->wait();
        CHECK(result.end == attempt_end::complete);
        CHECK(result.verdict == run_verdict::ran);
        CHECK(result.connection.is_new == (i == 0));
        CHECK(observer->body == "ok");
    }
}

// Guards against a retry by libcurl when a reused connection closes without a response.
TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, order, reused connection closes, sent once") {
    CHECK(count_received_after_close(*this, "POST", "order") == 1);
}

TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, order without a body, reused connection closes, sent once") {
    CHECK(count_received_after_close(*this, "POST", "") == 1);
}

// Guards against a retry that bypasses the router: a request that crashes its upstream must not be sent again
// to the restarted process.
TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, lookup, reused connection closes, sent once") {
    CHECK(count_received_after_close(*this, "GET", "") == 1);
}

// Guards against delivering the response of another request.
TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, wrong, missing or repeated request id, no byte delivered") {
    for (const std::string id : {"Berylcrank-Request-Id: id-2\r\n", "",
                                 "Berylcrank-Request-Id: id-1\r\nBerylcrank-Request-Id: id-1\r\n"}) {
        CAPTURE(id);
        const auto result = respond_and_close("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok");
        CHECK(result.end == attempt_end::wrong_id);
        CHECK(result.verdict == run_verdict::may_have_run);
        CHECK(last_head_count == 0);
        CHECK(last_body.empty());
    }
}

TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, response incomplete or badly chunked, truncated") {
    const std::string chunked = "Transfer-Encoding: chunked";
    for (const auto& text :
         {make_response("Content-Length: 3", "ok"), make_response(chunked, "2\r\nok\r\n"),
          make_response(chunked, "2\r\nok\r\nzz\r\n"), make_response(chunked, "2\r\nokok\r\n")}) {
        CAPTURE(text);
        const auto result = respond_and_close(text);
        CHECK(result.end == attempt_end::truncated);
        CHECK(result.verdict == run_verdict::may_have_run);
    }
}

// Guards against unclear framing: with an unknown length a truncated response looks complete, and with a
// contradictory length its remaining bytes look like another response.
TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, unclear length or not HTTP, malformed") {
    for (const auto& text :
         {make_response("Connection: close", "ok"),
          make_response("Content-Length: 2\r\nContent-Length: 1", "ok"),
          make_response("Content-Length: 2\r\nTransfer-Encoding: chunked", "2\r\nok\r\n0\r\n\r\n"),
          make_response("Content-Length: +2", "ok"), std::string("ok\r\n\r\n"),
          make_response("X: " + std::string(100000, 'x') + "\r\nContent-Length: 2", "ok")}) {
        CAPTURE(text.substr(0, 120));
        CHECK(respond_and_close(text).end == attempt_end::malformed);
        CHECK(last_head_count == 0);
    }
}

TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, shed response, verdict not run and not delivered") {
    const auto result =
        respond_and_close(make_response("Berylcrank-Verdict: not-run\r\nBerylcrank-Retry: no\r\n"
                                        "Content-Length: 2",
                                        "no", "503 Service Unavailable"));
    CHECK(result.end == attempt_end::shed);
    CHECK(result.verdict == run_verdict::not_run);
    CHECK(find_header(result.shed_head.headers, "Berylcrank-Retry") == "no");
    CHECK(last_head_count == 0);
    const auto other = respond_and_close(make_response("Content-Length: 2", "no", "503 Service Unavailable"));
    CHECK(other.verdict == run_verdict::ran);
}

TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, reset after receipt, verdict may have run") {
    const auto observer = start(request("POST", "order"));
    auto connection = listener.accept();
    connection.read_message();
    connection.reset();
    const auto result = observer->wait();
    CHECK(result.end == attempt_end::reset);
    CHECK(result.verdict == run_verdict::may_have_run);
}

// Guards against a late response of a timed-out request that is delivered to the next request.
TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, late response, not delivered to the next request") {
    auto late = request("GET");
    late.timeout = millis{50};
    const auto first = start(late);
    auto old = listener.accept();
    old.read_message();
    CHECK(first->wait().end == attempt_end::timed_out);
    old.send(complete_response);
    const auto second = start(request("GET"));
    auto connection = listener.accept();
    connection.read_message();
    connection.send(make_response("Content-Length: 3", "new"));
    CHECK(second->wait().end == attempt_end::complete);
    CHECK(second->body == "new");
}

TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, two responses to one request, second discarded") {
    const auto first = start(request("GET"));
    auto old = listener.accept();
    old.read_message();
    old.send(complete_response + make_response("Content-Length: 3", "old"));
    CHECK(first->wait().end == attempt_end::complete);
    auto next = request("GET");
    next.request_id = "id-2";
    const auto second = start(next);
    std::thread server([&] {
        if (!listener.receives_no_connection(1000)) {
            auto connection = listener.accept();
            connection.read_message();
            connection.send("HTTP/1.1 200 OK\r\nBerylcrank-Request-Id: id-2\r\nContent-Length: 3\r\n\r\nnew");
        }
    });
    const auto result = second->wait();
    server.join();
    CHECK(second->body != "old");
    CHECK((result.end == attempt_end::complete || result.end == attempt_end::wrong_id));
}

TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, response without progress, stalled") {
    auto download = request("GET");
    download.timeout.reset();
    download.stall = millis{100};
    const auto observer = start(download);
    auto connection = listener.accept();
    connection.read_message();
    connection.send(make_response("Content-Length: 3", "ok"));
    const auto result = observer->wait();
    CHECK(result.end == attempt_end::stalled);
    CHECK(result.verdict == run_verdict::may_have_run);
    CHECK(connection.wait_closed());
}

TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, denied send or refused connection, verdict not run") {
    auto order = request("POST", "order");
    const auto denied_observer = std::make_shared<recording_observer>();
    denied_observer->allows_send = false;
    call = subject->start(order, denied_observer);
    auto connection = listener.accept();
    CHECK(denied_observer->wait().end == attempt_end::denied);
    CHECK(connection.read_all().empty());

    order.address = raw_listener().address(); // The listener closes at the end of this statement.
    const auto observer = start(order);
    const auto result = observer->wait();
    CHECK(result.end == attempt_end::connect_failed);
    CHECK(result.verdict == run_verdict::not_run);
    CHECK(observer->may_send_calls == 0);
}

TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, header with a line break, not sent") {
    auto invalid = request("GET");
    invalid.headers.push_back({"X", "a\r\nBerylcrank-Request-Id: id-2"});
    CHECK(start(invalid)->wait().verdict == run_verdict::not_run);
}

TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, cancelled, connection closed") {
    const auto observer = start(request("POST", "order"));
    auto connection = listener.accept();
    connection.read_message();
    call->cancel();
    CHECK(connection.wait_closed());
    const auto result = observer->wait();
    CHECK(result.end == attempt_end::cancelled);
    CHECK(result.verdict == run_verdict::may_have_run);
}

// Guards against unbounded memory use when the consumer of a body is slow.
TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, refused block, waits for resume and loses nothing") {
    constexpr std::size_t size = 32U << 20U;
    const auto observer = std::make_shared<recording_observer>();
    observer->accepts_body = false;
    call = subject->start(request("GET"), observer);
    auto connection = listener.accept();
    connection.read_message();
    std::string sent(size, 'x');
    for (std::size_t i = 0; i < size; i += 997) {
        sent[i] = static_cast<char>('a' + i % 23);
    }
    std::atomic<bool> is_sent{false};
    std::thread sender([&] {
        connection.send(make_response("Content-Length: " + std::to_string(size), sent));
        is_sent = true;
    });
    while (observer->refused_blocks == 0) {
        std::this_thread::yield();
    }
    CHECK_FALSE(is_sent); // The socket buffers are smaller than the body.
    observer->accepts_body = true;
    call->resume();
    CHECK(observer->wait().end == attempt_end::complete);
    sender.join();
    CHECK(observer->body == sent);
}

} // namespace berylcrank::testing
