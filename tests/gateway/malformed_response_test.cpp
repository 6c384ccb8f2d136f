#include "modules/berylcrank_gateway/client/client_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <vector>

namespace berylcrank {

namespace {

using boost::asio::ip::tcp;

// Records what a caller would get.
class recording_sink final : public response_sink {
public:
    head_action on_head(const response_head& head) override {
        statuses.push_back(head.status);
        return head_action::accept;
    }
    void on_body(std::string_view bytes) override { body += bytes; }
    void on_done(bool reusable) override {
        done = true;
        is_reusable = reusable;
    }
    void on_failed(call_failure reason) override { failure = reason; }

    std::vector<int> statuses;
    std::string body;
    bool done{false};
    bool is_reusable{false};
    std::optional<call_failure> failure;
};

// A new connection to a server on loopback, which carries one call. The test drives both on one thread.
struct one_call_fixture {
    one_call_fixture() {
        subject->call("GET / HTTP/1.1\r\nHost: a\r\n\r\n", sink);
        run_ready();
        acceptor.accept(server);
        server.set_option(tcp::no_delay(true));
        run_ready();
    }

    void run_ready() {
        io.restart();
        io.poll();
    }

    void respond(const std::string& text) {
        boost::asio::write(server, boost::asio::buffer(text));
        run_ready();
    }

    boost::asio::io_context io;
    manual_clock time;
    tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};
    tcp::socket server{io};
    recording_sink sink;
    std::shared_ptr<client_connection> subject =
        std::make_shared<client_connection>(io, acceptor.local_endpoint(), time);
};

const std::string framing = "Content-Length: 2\r\n\r\nok";

const std::vector<std::string> malformed_heads = {
    "HTTP/1.1 000 Status\r\n" + framing,
    "HTTP/1.1 099 Status\r\n" + framing,
    "HTTP/1.1 600 Status\r\n" + framing,
    "HTTP/1.1 999 Status\r\n" + framing,
    "HTTP/1.1 99 Status\r\n" + framing,
    "HTTP/1.1 2000 Status\r\n" + framing,
    "HTTP/1.1 1e2 Status\r\n" + framing,
    "HTTP/1.1 -20 Status\r\n" + framing,
    "HTTP/1.1  Status\r\n" + framing,
    "HTTP/1.1 \r\n" + framing,
    "HTTP/1.1\r\n" + framing,
    "HTTP/1.1 200\r\n" + framing, // the space behind the status is mandatory
    "HTTP/0.9 200 OK\r\n" + framing,
    "HTTP/1.2 200 OK\r\n" + framing,
    "HTTP/2.0 200 OK\r\n" + framing,
    "HTTP/9.9 200 OK\r\n" + framing,
    "HTTP/11 200 OK\r\n" + framing,
    "http/1.1 200 OK\r\n" + framing,
    "just text, as of HTTP/0.9\r\n\r\n",
    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n" + framing,
    "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n" + framing,
    "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 0x2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2.0\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551618\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, identity\r\n\r\nok",
};

} // namespace

// Guards against a status, version or length outside of HTTP/1.1 that is taken for a response. A status below
// 100 counted as an interim response, and one above 599 reached the caller.
TEST_CASE("response_parser, malformed head, is an error") {
    for (const auto& text : malformed_heads) {
        CAPTURE(text);
        response_parser subject;
        boost::beast::error_code ec;
        subject.feed(text, ec);
        CHECK(ec);
    }
}

// Guards against a head that is valid in one read and not in two.
TEST_CASE("response_parser, malformed head split at any byte, is an error") {
    for (const auto& text : malformed_heads) {
        for (std::size_t cut = 1; cut < text.size(); ++cut) {
            response_parser subject;
            boost::beast::error_code ec;
            subject.feed(std::string_view(text).substr(0, cut), ec);
            if (!ec && !subject.is_done()) {
                subject.feed(std::string_view(text).substr(cut), ec);
            }
            CHECK_MESSAGE(ec, text, " split at ", cut);
        }
    }
}

// Guards against a check that also rejects valid responses.
TEST_CASE("response_parser, unusual but valid head, is accepted") {
    for (const auto& text : std::vector<std::string>{
             "HTTP/1.1 200 \r\n" + framing, // an empty reason
             "HTTP/1.0 200 OK\r\n" + framing,
             "HTTP/1.1 599 Status\r\n" + framing,
             "HTTP/1.1 100 Continue\r\n\r\n",
             "HTTP/1.1 204 No Content\r\n\r\n",
             "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
             "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n",
             "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
         }) {
        CAPTURE(text);
        response_parser subject;
        boost::beast::error_code ec;
        subject.feed(text, ec);
        CHECK_FALSE(ec);
        CHECK(subject.is_done());
    }
}

// Guards against any part of a malformed response that reaches a caller, and against a connection that is
// used again after it.
TEST_CASE("client_connection, malformed head, fails the call and closes") {
    for (const auto& text : malformed_heads) {
        CAPTURE(text);
        one_call_fixture it;
        it.respond(text);
        CHECK(it.sink.failure == call_failure::garbled);
        CHECK(it.sink.statuses.empty());
        CHECK(it.sink.body.empty());
        CHECK_FALSE(it.sink.done);
        CHECK(it.subject->closed());
    }
}

// Guards against the body of a response that has none, which is taken for the start of the next response.
TEST_CASE("client_connection, body behind a response without one, fails the call and closes") {
    for (const auto* text : {"HTTP/1.1 204 No Content\r\n\r\nok", "HTTP/1.1 304 Not Modified\r\n\r\nok",
                             "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\nok",
                             "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"}) {
        CAPTURE(text);
        one_call_fixture it;
        it.respond(text);
        CHECK(it.sink.failure == call_failure::garbled);
        CHECK(it.sink.statuses.empty());
        CHECK_FALSE(it.sink.done);
        CHECK(it.subject->closed());
    }
}

// Guards against the same if the body arrives after the head: a 304 may state the length of a body that it
// does not have, so only a new connection is safe.
TEST_CASE_FIXTURE(one_call_fixture, "client_connection, 304 that states a length, is complete and closes") {
    respond("HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n");
    CHECK(sink.done);
    CHECK_FALSE(sink.is_reusable);
    CHECK(sink.statuses == std::vector<int>{304});
    CHECK(subject->closed());
}

// Guards against a check for bodies that also closes the connection after valid responses.
TEST_CASE_FIXTURE(one_call_fixture, "client_connection, 204 without a body, is complete and reusable") {
    respond("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
    CHECK(sink.done);
    CHECK(sink.is_reusable);
    CHECK(sink.statuses == std::vector<int>{204});
    CHECK_FALSE(subject->closed());
}

} // namespace berylcrank
