#include "tests/http/recording_observer.h"
#include "tests/support/raw_socket.h"

#include <doctest/doctest.h>
#include <thread>

namespace berylcrank::testing {

namespace {

struct upstream_client_fixture {
    raw_listener peer;
    std::unique_ptr<upstream_client> subject = make_upstream_client({.threads = 1});
    std::shared_ptr<upstream_call> call;

    upstream_request request(const std::string& method, const std::string& body = {}) const {
        return {.upstream = "u",
                .address = peer.address(),
                .method = method,
                .path = "/work?a=%20b",
                .headers = {{"X-Test", "1"}},
                .body = std::make_shared<const std::string>(body),
                .request_id = "id-1",
                .timeout = millis{5000},
                .idempotent = method == "GET"};
    }

    std::shared_ptr<recording_observer> start(const upstream_request& it) {
        auto observer = std::make_shared<recording_observer>();
        call = subject->start(it, observer);
        return observer;
    }

    /** Sends a request whose answer is `answer`, after which the connection closes. */
    attempt_result answered_with(const std::string& answer) {
        const auto observer = start(request("GET"));
        auto connection = peer.accept();
        connection.read_message();
        connection.send(answer);
        connection.close();
        last_heads = observer->heads;
        const auto it = observer->wait();
        last_heads = observer->heads;
        last_body = observer->body;
        return it;
    }

    int last_heads{0};
    std::string last_body;
};

std::string answer_with(const std::string& headers, const std::string& body,
                        const std::string& status = "200 OK") {
    return "HTTP/1.1 " + status + "\r\nBerylcrank-Request-Id: id-1\r\n" + headers + "\r\n\r\n" + body;
}

const std::string whole = answer_with("Content-Length: 2", "ok");

/** Runs `method` on a connection that is reused and then closed without an answer; returns how often the
    upstream received it. */
int received_after_close(upstream_client_fixture& it, const std::string& method, const std::string& body) {
    const auto first = it.start(it.request("GET"));
    auto reused = it.peer.accept();
    reused.read_message();
    reused.send(whole);
    CHECK(first->wait().end == attempt_end::complete);

    const auto observer = it.start(it.request(method, body));
    std::atomic<int> received{0};
    const auto take = [&](raw_connection& connection) {
        try {
            connection.read_message();
            ++received;
        } catch (const std::runtime_error&) {
            // Closed before a whole request came.
        }
        connection.close();
    };
    std::thread old_connection([&] { take(reused); });
    std::thread new_connection([&] {
        while (!it.peer.stays_quiet(500)) {
            auto connection = it.peer.accept();
            take(connection);
        }
    });
    const auto result = observer->wait();
    new_connection.join();
    it.subject.reset();
    old_connection.join();
    CHECK(result.verdict == run_verdict::may_have_run);
    CHECK(result.end == attempt_end::reset);
    return received;
}

} // namespace

TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, whole answer, ran and its connection is reused") {
    for (int i = 0; i < 2; ++i) {
        static std::optional<raw_connection> connection;
        const auto observer = start(request("POST", "hello"));
        if (!connection) {
            connection.emplace(peer.accept());
        }
        const auto message = connection->read_message();
        CHECK(message.starts_with("POST /work?a=%20b HTTP/1.1\r\n"));
        CHECK(message.ends_with("\r\n\r\nhello"));
        CHECK(header_in(message, "Berylcrank-Request-Id") == "id-1");
        CHECK(header_in(message, "X-Test") == "1");
        CHECK(header_in(message, "Expect").empty());
        connection->send(whole);
        const auto it = observer->wait();
        CHECK(it.end == attempt_end::complete);
        CHECK(it.verdict == run_verdict::ran);
        CHECK(it.connection.is_new == (i == 0));
        CHECK(observer->body == "ok");
    }
}

// Guards against libcurl sending a request a second time when a reused connection closes without an answer.
TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, order on a closed reused connection, sent once") {
    CHECK(received_after_close(*this, "POST", "order") == 1);
}

TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, empty order on a closed connection, sent once") {
    CHECK(received_after_close(*this, "POST", "") == 1);
}

// A request that crashes its upstream must not be sent to the restarted one behind the router's back.
TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, lookup on a closed reused connection, sent once") {
    CHECK(received_after_close(*this, "GET", "") == 1);
}

// Guards against giving a caller the answer to another request.
TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, wrong, missing or repeated id, no byte passed on") {
    for (const std::string id : {"Berylcrank-Request-Id: id-2\r\n", "",
                                 "Berylcrank-Request-Id: id-1\r\nBerylcrank-Request-Id: id-1\r\n"}) {
        CAPTURE(id);
        const auto it = answered_with("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok");
        CHECK(it.end == attempt_end::wrong_id);
        CHECK(it.verdict == run_verdict::may_have_run);
        CHECK(last_heads == 0);
        CHECK(last_body.empty());
    }
}

TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, answer cut off or badly chunked, truncated") {
    const std::string chunked = "Transfer-Encoding: chunked";
    for (const auto& text :
         {answer_with("Content-Length: 3", "ok"), answer_with(chunked, "2\r\nok\r\n"),
          answer_with(chunked, "2\r\nok\r\nzz\r\n"), answer_with(chunked, "2\r\nokok\r\n")}) {
        CAPTURE(text);
        const auto it = answered_with(text);
        CHECK(it.end == attempt_end::truncated);
        CHECK(it.verdict == run_verdict::may_have_run);
    }
}

// A length that is unknown or contradictory hides a cut-off answer, or makes the rest look like another
// answer.
TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, unclear length or no HTTP, malformed") {
    for (const auto& text :
         {answer_with("Connection: close", "ok"), answer_with("Content-Length: 2\r\nContent-Length: 1", "ok"),
          answer_with("Content-Length: 2\r\nTransfer-Encoding: chunked", "2\r\nok\r\n0\r\n\r\n"),
          answer_with("Content-Length: +2", "ok"), std::string("ok\r\n\r\n"),
          answer_with("X: " + std::string(100000, 'x') + "\r\nContent-Length: 2", "ok")}) {
        CAPTURE(text.substr(0, 120));
        CHECK(answered_with(text).end == attempt_end::malformed);
        CHECK(last_heads == 0);
    }
}

TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, shed answer, not run and not passed on") {
    const auto it = answered_with(answer_with("Berylcrank-Verdict: not-run\r\nBerylcrank-Retry: no\r\n"
                                              "Content-Length: 2",
                                              "no", "503 Service Unavailable"));
    CHECK(it.end == attempt_end::shed);
    CHECK(it.verdict == run_verdict::not_run);
    CHECK(find_header(it.shed_head.headers, "Berylcrank-Retry") == "no");
    CHECK(last_heads == 0);
    const auto other = answered_with(answer_with("Content-Length: 2", "no", "503 Service Unavailable"));
    CHECK(other.verdict == run_verdict::ran);
}

TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, reset after receipt, may have run") {
    const auto observer = start(request("POST", "order"));
    auto connection = peer.accept();
    connection.read_message();
    connection.reset();
    const auto it = observer->wait();
    CHECK(it.end == attempt_end::reset);
    CHECK(it.verdict == run_verdict::may_have_run);
}

// Guards against an answer that comes after its request was given up and is taken for the next one.
TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, late answer, never given to the next request") {
    auto late = request("GET");
    late.timeout = millis{50};
    const auto first = start(late);
    auto old = peer.accept();
    old.read_message();
    CHECK(first->wait().end == attempt_end::timed_out);
    old.send(whole);
    const auto second = start(request("GET"));
    auto connection = peer.accept();
    connection.read_message();
    connection.send(answer_with("Content-Length: 3", "new"));
    CHECK(second->wait().end == attempt_end::complete);
    CHECK(second->body == "new");
}

TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, two answers to one request, second never used") {
    const auto first = start(request("GET"));
    auto old = peer.accept();
    old.read_message();
    old.send(whole + answer_with("Content-Length: 3", "old"));
    CHECK(first->wait().end == attempt_end::complete);
    auto next = request("GET");
    next.request_id = "id-2";
    const auto second = start(next);
    std::thread server([&] {
        if (!peer.stays_quiet(1000)) {
            auto connection = peer.accept();
            connection.read_message();
            connection.send("HTTP/1.1 200 OK\r\nBerylcrank-Request-Id: id-2\r\nContent-Length: 3\r\n\r\nnew");
        }
    });
    const auto it = second->wait();
    server.join();
    CHECK(second->body != "old");
    CHECK((it.end == attempt_end::complete || it.end == attempt_end::wrong_id));
}

TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, answer without progress, stalled") {
    auto it = request("GET");
    it.timeout.reset();
    it.stall = millis{100};
    const auto observer = start(it);
    auto connection = peer.accept();
    connection.read_message();
    connection.send(answer_with("Content-Length: 3", "ok"));
    const auto result = observer->wait();
    CHECK(result.end == attempt_end::stalled);
    CHECK(result.verdict == run_verdict::may_have_run);
    CHECK(connection.wait_closed());
}

TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, refused connection or leave, not run") {
    auto it = request("POST", "order");
    const auto denied = std::make_shared<recording_observer>();
    denied->allows_send = false;
    call = subject->start(it, denied);
    auto connection = peer.accept();
    CHECK(denied->wait().end == attempt_end::denied);
    CHECK(connection.read_all().empty());

    it.address = raw_listener().address(); // Closed again at the end of this line.
    const auto observer = start(it);
    const auto result = observer->wait();
    CHECK(result.end == attempt_end::connect_failed);
    CHECK(result.verdict == run_verdict::not_run);
    CHECK(observer->asked == 0);
}

TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, header with a line break, nothing sent") {
    auto it = request("GET");
    it.headers.push_back({"X", "a\r\nBerylcrank-Request-Id: id-2"});
    CHECK(start(it)->wait().verdict == run_verdict::not_run);
}

TEST_CASE_FIXTURE(upstream_client_fixture, "upstream_client, cancelled, connection is closed") {
    const auto observer = start(request("POST", "order"));
    auto connection = peer.accept();
    connection.read_message();
    call->cancel();
    CHECK(connection.wait_closed());
    const auto it = observer->wait();
    CHECK(it.end == attempt_end::cancelled);
    CHECK(it.verdict == run_verdict::may_have_run);
}

// Guards against unbounded memory when the taker of a body is slow.
TEST_CASE_FIXTURE(upstream_client_fixture,
                  "upstream_client, refused part, waits for resume and loses nothing") {
    constexpr std::size_t size = 32U << 20U;
    const auto observer = std::make_shared<recording_observer>();
    observer->takes_body = false;
    call = subject->start(request("GET"), observer);
    auto connection = peer.accept();
    connection.read_message();
    std::string sent(size, 'x');
    for (std::size_t i = 0; i < size; i += 997) {
        sent[i] = static_cast<char>('a' + i % 23);
    }
    std::atomic<bool> is_sent{false};
    std::thread sender([&] {
        connection.send(answer_with("Content-Length: " + std::to_string(size), sent));
        is_sent = true;
    });
    while (observer->refused_parts == 0) {
        std::this_thread::yield();
    }
    CHECK_FALSE(is_sent); // The socket buffers hold less than the body.
    observer->takes_body = true;
    call->resume();
    CHECK(observer->wait().end == attempt_end::complete);
    sender.join();
    CHECK(observer->body == sent);
}

} // namespace berylcrank::testing
