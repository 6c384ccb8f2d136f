#include "modules/berylcrank_gateway/client/client_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <utility>

namespace berylcrank {

namespace {

using boost::asio::ip::tcp;

// Records how a call ended.
class outcome_sink final : public response_sink {
public:
    head_action on_head(const response_head& head) override {
        status = head.status;
        return head_action::accept;
    }
    void on_body(std::string_view bytes) override { body += bytes; }
    void on_done(bool reusable) override {
        done = true;
        is_reusable = reusable;
    }
    void on_failed(call_failure reason) override { failure = reason; }

    int status{0};
    std::string body;
    bool done{false};
    bool is_reusable{false};
    std::optional<call_failure> failure;
};

// A connection to a server on loopback. The test drives both on one thread.
struct interim_fixture {
    void run_ready() {
        io.restart();
        io.poll();
    }

    void call(outcome_sink& sink) {
        subject->call("GET / HTTP/1.1\r\nHost: a\r\n\r\n", sink);
        run_ready();
        if (!server.is_open()) {
            acceptor.accept(server);
            server.set_option(tcp::no_delay(true)); // each block arrives at once
        }
        run_ready();
    }

    void respond(const std::string& text) {
        boost::asio::write(server, boost::asio::buffer(text));
        run_ready();
    }

    // Sends `n` interim responses, each in a segment of its own if `apart`.
    void send_interim(int n, bool apart) {
        std::string text;
        for (int k = 0; k < n; ++k) {
            text += interim;
            if (apart) {
                respond(std::exchange(text, {}));
            }
        }
        if (!text.empty()) {
            respond(text);
        }
    }

    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string whole_response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd";
    boost::asio::io_context io;
    manual_clock time;
    tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};
    tcp::socket server{io};
    outcome_sink first;
    outcome_sink second;
    std::shared_ptr<client_connection> subject =
        std::make_shared<client_connection>(io, acceptor.local_endpoint(), time);
};

// An interim response of about `bytes` bytes.
std::string large_interim(std::size_t bytes) {
    return "HTTP/1.1 103 Early Hints\r\nLink: " + std::string(bytes, 'a') + "\r\n\r\n";
}

} // namespace

// Guards against an upstream that occupies the node until the deadline with interim responses without end.
TEST_CASE("client_connection, one interim response too many, fails the call as garbled and closes") {
    for (const bool apart : {false, true}) {
        CAPTURE(apart);
        interim_fixture it;
        it.call(it.first);
        it.send_interim(client_connection::max_interim_responses + 1, apart);
        CHECK(it.first.failure == call_failure::garbled);
        CHECK(it.first.status == 0);
        CHECK_FALSE(it.first.done);
        CHECK(it.subject->closed());
    }
}

// Guards against the same with few interim responses that are large.
TEST_CASE_FIXTURE(interim_fixture, "client_connection, too many bytes of interim responses, fails the call") {
    constexpr std::size_t n = 32768;
    call(first);
    for (std::size_t sent = 0; sent < client_connection::max_interim_bytes; sent += n) {
        CHECK_FALSE(first.failure);
        respond(large_interim(n));
    }
    CHECK(first.failure == call_failure::garbled);
    CHECK(subject->closed());
}

// Guards against limits that break healthy upstreams.
TEST_CASE("client_connection, as many interim responses as allowed, delivers the final response") {
    static_assert(client_connection::max_interim_responses >= 16);
    static_assert(client_connection::max_interim_bytes >= 65536);
    for (const bool apart : {false, true}) {
        CAPTURE(apart);
        interim_fixture it;
        it.call(it.first);
        it.send_interim(client_connection::max_interim_responses, apart);
        it.respond(it.whole_response);
        CHECK_FALSE(it.first.failure);
        CHECK(it.first.done);
        CHECK(it.first.is_reusable);
        CHECK(it.first.body == "abcd");
    }
}

// Guards against a limit on the bytes that a single large interim response or the final response exceeds.
TEST_CASE_FIXTURE(interim_fixture,
                  "client_connection, 64 KiB of interim responses and a large body, delivers the response") {
    constexpr std::size_t n = 4096;
    call(first);
    for (int k = 0; k < 16; ++k) {
        respond(large_interim(n));
    }
    const std::string body(2 * client_connection::max_interim_bytes, 'b');
    respond("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    CHECK(first.done);
    CHECK(first.body == body);
}

// Guards against interim responses of earlier calls that count for a later one on the same connection.
TEST_CASE_FIXTURE(interim_fixture, "client_connection, interim responses in each of two calls, serves both") {
    for (auto* sink : {&first, &second}) {
        call(*sink);
        send_interim(client_connection::max_interim_responses, false);
        respond(whole_response);
        CHECK(sink->done);
        CHECK(sink->is_reusable);
    }
}

} // namespace berylcrank
