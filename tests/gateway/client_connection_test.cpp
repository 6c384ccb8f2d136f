#include "modules/berylcrank_gateway/client/client_connection.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

namespace berylcrank {

namespace {

using boost::asio::ip::tcp;

// Pauses the connection at each block of the body if told to.
class pausing_sink final : public response_sink {
public:
    head_action on_head(const response_head& /*head*/) override { return head_action::accept; }
    void on_body(std::string_view bytes) override {
        body += bytes;
        if (pauses) {
            resume = connection->pause_reading();
        }
    }
    void on_done(bool reusable) override {
        done = true;
        is_reusable = reusable;
    }
    void on_failed(call_failure /*reason*/) override { failed = true; }

    std::shared_ptr<client_connection> connection;
    std::function<void()> resume;
    std::string body;
    bool pauses{false};
    bool done{false};
    bool is_reusable{false};
    bool failed{false};
};

// A connection to a server on loopback. The test drives both on one thread.
struct connection_fixture {
    connection_fixture() {
        subject = std::make_shared<client_connection>(io, acceptor.local_endpoint(), time);
        first.connection = subject;
        second.connection = subject;
    }

    void run_ready() {
        io.restart();
        io.poll();
    }

    void call(pausing_sink& sink) {
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

    boost::asio::io_context io;
    manual_clock time;
    tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};
    tcp::socket server{io};
    std::shared_ptr<client_connection> subject;
    pausing_sink first;
    pausing_sink second;
};

const std::string whole_response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd";

} // namespace

// Guards against a pause that outlives its call, so that the response to the next call is never read.
TEST_CASE_FIXTURE(connection_fixture,
                  "client_connection, response completes while paused, reads the response to the next call") {
    first.pauses = true;
    call(first);
    respond(whole_response);
    CHECK(first.done);
    CHECK(first.is_reusable);
    call(second);
    respond(whole_response);
    CHECK(second.done);
    CHECK(second.body == "abcd");
}

// Guards against a handler of an earlier call that resumes a later one, whose caller is still slow.
TEST_CASE_FIXTURE(connection_fixture, "client_connection, resumed by an earlier call, stays paused") {
    first.pauses = true;
    call(first);
    respond(whole_response);
    second.pauses = true;
    call(second);
    respond("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
    first.resume();
    respond("cd");
    CHECK(second.body == "ab");
    second.resume();
    run_ready();
    CHECK(second.body == "abcd");
    CHECK(second.done);
}

// Guards against reading on while the caller is slow, and against bytes that are lost by the pause.
TEST_CASE_FIXTURE(connection_fixture,
                  "client_connection, paused in a response, reads the rest when resumed") {
    first.pauses = true;
    call(first);
    respond("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
    respond("cd");
    CHECK(first.body == "ab");
    CHECK(subject->activity() == "paused");
    first.resume();
    run_ready();
    CHECK(first.body == "abcd");
    CHECK(first.done);
    CHECK_FALSE(first.failed);
}

} // namespace berylcrank
