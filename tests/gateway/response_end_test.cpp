#include "modules/berylcrank_gateway/client/client_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

namespace berylcrank {

namespace {

using boost::asio::ip::tcp;

// Records how a call ended.
class end_sink final : public response_sink {
public:
    head_action on_head(const response_head& /*head*/) override {
        has_head = true;
        return head_action::accept;
    }
    void on_body(std::string_view bytes) override { body += bytes; }
    void on_done(bool reusable) override {
        done = true;
        is_reusable = reusable;
    }
    void on_failed(call_failure reason) override { failure = reason; }

    std::string body;
    bool has_head{false};
    bool done{false};
    bool is_reusable{false};
    std::optional<call_failure> failure;
};

// A call whose request is larger than the socket buffers, so that the server responds while it is being
// written. The test drives both on one thread.
struct long_request_fixture {
    long_request_fixture() {
        constexpr std::size_t body_bytes = 32U << 20U;
        subject->call("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body_bytes) +
                          "\r\n\r\n" + std::string(body_bytes, 'x'),
                      sink);
        run_ready();
        acceptor.accept(server);
        run_ready();
    }

    void run_ready() {
        io.restart();
        io.poll();
    }

    void respond(const std::string& text) { boost::asio::write(server, boost::asio::buffer(text)); }

    // Closes the connection with a reset, with or without an option that asks for it.
    void reset(bool by_option) {
        if (by_option) {
            server.set_option(boost::asio::socket_base::linger(true, 0));
        }
        server.close(); // input that has not been read also causes a reset
        run_ready();
    }

    boost::asio::io_context io;
    manual_clock time;
    tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};
    tcp::socket server{io};
    end_sink sink;
    std::shared_ptr<client_connection> subject =
        std::make_shared<client_connection>(io, acceptor.local_endpoint(), time);
};

} // namespace

// Guards against part of a body without a length that counts as the whole one, because the write of the
// request has taken the error of the reset.
TEST_CASE("client_connection, reset while the request is written, body without a length is broken off") {
    for (const bool by_option : {true, false}) {
        for (const bool read_before : {true, false}) {
            CAPTURE(by_option);
            CAPTURE(read_before);
            long_request_fixture it;
            it.respond("HTTP/1.1 200 OK\r\n\r\npart");
            if (read_before) {
                it.run_ready();
            }
            it.reset(by_option);
            CHECK_FALSE(it.sink.done);
            REQUIRE(it.sink.failure);
            CHECK(*it.sink.failure ==
                  (it.sink.has_head ? call_failure::broken_off : call_failure::no_response));
            CHECK(it.subject->closed());
            CHECK(it.subject->closed_by_server());
        }
    }
}

// Guards against the same with a body of a length or in chunks.
TEST_CASE("client_connection, reset while the request is written, framed body is broken off") {
    for (const auto* framing :
         {"Content-Length: 8\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
        CAPTURE(framing);
        long_request_fixture it;
        it.respond(std::string("HTTP/1.1 200 OK\r\n") + framing);
        it.reset(true);
        CHECK_FALSE(it.sink.done);
        CHECK(it.sink.failure);
    }
}

// Guards against a connection that is kept for the next request although part of this one was not sent.
TEST_CASE_FIXTURE(long_request_fixture,
                  "client_connection, reset behind a whole response, is complete and not reusable") {
    respond("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
    reset(true);
    if (sink.done) { // the reset may discard what has not been read
        CHECK(sink.body == "body");
        CHECK_FALSE(sink.is_reusable);
    }
    CHECK(subject->closed());
}

// Guards against a check that also rejects a server that has sent its whole response and reads on.
TEST_CASE_FIXTURE(
    long_request_fixture,
    "client_connection, server half closes while the request is written, response is complete") {
    respond("HTTP/1.1 200 OK\r\n\r\nwhole");
    server.shutdown(tcp::socket::shutdown_send);
    run_ready();
    CHECK(sink.done);
    CHECK_FALSE(sink.is_reusable);
    CHECK(sink.body == "whole");
}

} // namespace berylcrank
