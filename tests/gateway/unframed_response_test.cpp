#include "modules/berylcrank_gateway/server/http_listener.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

namespace berylcrank {

namespace {

using boost::asio::ip::tcp;

// Keeps the last request.
class keeping_handler final : public request_handler {
public:
    void handle(const exchange_ptr& it) override { last = it; }
    [[nodiscard]] bool closing() const override { return false; }

    exchange_ptr last;
};

const ingress_limits& default_limits() {
    static const ingress_limits it;
    return it;
}

// A listener with a caller that uses HTTP/1.0 and has sent a request. The test drives both on one thread.
struct http_1_0_fixture {
    http_1_0_fixture() {
        caller.connect({boost::asio::ip::address_v4::loopback(), subject.port()});
        boost::asio::write(caller, boost::asio::buffer(std::string("GET /a HTTP/1.0\r\n\r\n")));
        run_ready();
        REQUIRE(handler.last);
        handler.last->begin(200, "OK", {}, std::nullopt);
        handler.last->append("part");
        run_ready();
    }

    void run_ready() {
        io.restart();
        io.poll();
    }

    // Reads until the connection ends. Returns how it ended.
    boost::system::error_code read_to_end() {
        std::array<char, 4096> buf{};
        boost::system::error_code ec;
        while (!ec) {
            const auto n = caller.read_some(boost::asio::buffer(buf), ec);
            received.append(buf.data(), n);
        }
        return ec;
    }

    boost::asio::io_context io;
    manual_clock time;
    keeping_handler handler;
    http_listener subject{io, "127.0.0.1:0", {.time = time, .handler = handler, .limits = &default_limits}};
    tcp::socket caller{io};
    std::string received;
};

} // namespace

// Guards against part of a body that a caller takes for the whole one, because the end of the connection
// marks its end.
TEST_CASE_FIXTURE(http_1_0_fixture,
                  "server connection, response without a length is aborted, connection is reset") {
    handler.last->abort();
    run_ready();
    CHECK(read_to_end() == boost::asio::error::connection_reset);
}

// Guards against the same for a response that is complete but not yet written when its caller stalls.
TEST_CASE_FIXTURE(http_1_0_fixture,
                  "server connection, complete response is not written in time, connection is reset") {
    handler.last->append(std::string(std::size_t{32} << 20U, 'x'));
    handler.last->finish();
    run_ready();
    for (int n = 0; n < 2; ++n) {
        subject.check_timeouts(time.now(), false); // the first one sees the bytes that have been written
        time.advance(default_limits().idle_timeout + millis{1});
    }
    subject.check_timeouts(time.now(), false);
    run_ready();
    CHECK(read_to_end() == boost::asio::error::connection_reset);
}

// Guards against a reset of a response that is whole, and may discard its end.
TEST_CASE_FIXTURE(http_1_0_fixture,
                  "server connection, response without a length is finished, connection is closed in order") {
    handler.last->append("end");
    handler.last->finish();
    run_ready();
    CHECK(read_to_end() == boost::asio::error::eof);
    CHECK(received.ends_with("partend"));
}

} // namespace berylcrank
