#include "modules/berylcrank_gateway/server/connection_limit.h"

#include "modules/berylcrank_gateway/server/http_listener.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>

namespace berylcrank {

namespace {

using boost::asio::ip::tcp;

// Holds requests until the test responds to them.
class holding_handler final : public request_handler {
public:
    void handle(const exchange_ptr& it) override { held.push_back(it); }

    std::vector<exchange_ptr> held;
};

/** Two listeners on loopback that share a limit of three connections, of which one is reserved for the second
    listener. */
struct connection_limit_fixture {
    boost::asio::io_context io;
    manual_clock time;
    holding_handler handler;
    ingress_limits limits;
    std::shared_ptr<connection_limit> limit =
        std::make_shared<connection_limit>(connection_limit::options{.limit = 3, .reserve = 1});
    listener_context context{.time = time,
                             .handler = handler,
                             .limits = std::bind_front(&connection_limit_fixture::current_limits, this),
                             .connections = limit};
    http_listener subject{io, "127.0.0.1:0", context};
    http_listener reserved{io, "127.0.0.1:0", with_reserve(context)};

    static listener_context with_reserve(listener_context it) {
        it.uses_reserve = true;
        return it;
    }

    [[nodiscard]] const ingress_limits& current_limits() const { return limits; }

    void run_ready() {
        subject.retry_accept();
        reserved.retry_accept();
        for (int n = 0; n < 3; ++n) {
            io.restart();
            io.poll();
        }
        subject.check_timeouts(time.now(), false);
        reserved.check_timeouts(time.now(), false);
    }

    tcp::socket connect(const http_listener& to, const std::string& text = "") {
        tcp::socket caller(io);
        caller.connect({boost::asio::ip::address_v4::loopback(), to.port()});
        boost::asio::write(caller, boost::asio::buffer(text));
        caller.non_blocking(true);
        run_ready();
        return caller;
    }

    // Returns what has arrived, and "closed" at the end of the stream.
    static std::string received(tcp::socket& caller) {
        std::array<char, 4096> buf{};
        boost::system::error_code ec;
        const auto n = caller.read_some(boost::asio::buffer(buf), ec);
        return ec == boost::asio::error::eof ? "closed" : std::string{buf.data(), ec ? 0 : n};
    }
};

const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string part_of_head = "GET / HTTP/1.1\r\nHo";

} // namespace

// Guards against a connection that is closed although another has been idle for longer.
TEST_CASE_FIXTURE(connection_limit_fixture,
                  "connection limit, idle connections at the limit, the one idle for longest is closed") {
    auto first = connect(subject);
    time.advance(millis{10});
    auto second = connect(subject);
    time.advance(millis{300});
    auto third = connect(subject, request);
    CHECK(received(first) == "closed");
    CHECK(received(second).empty());
    CHECK(handler.held.size() == 1);
    CHECK(limit->used() == 2);
    CHECK(limit->closed_idle() == 1);
}

// Guards against closing connections whose first request is on its way, and against accepting without room.
TEST_CASE_FIXTURE(connection_limit_fixture,
                  "connection limit, no connection can be closed, a new one waits until there is room") {
    auto first = connect(subject, request);
    auto second = connect(subject, request);
    time.advance(millis{5000});
    auto third = connect(subject, request);
    CHECK(limit->used() == 2);
    CHECK(handler.held.size() == 2);
    CHECK(limit->waits() >= 1);
    handler.held[0]->respond(200, "OK", {}, "");
    CHECK(received(first).starts_with("HTTP/1.1 200 "));
    first.close();
    run_ready();
    run_ready();
    CHECK(handler.held.size() == 3);
    CHECK(limit->used() == 2);
}

// Guards against clients that hold connections by requests that they do not complete, and against closing
// these before idle connections.
TEST_CASE_FIXTURE(connection_limit_fixture,
                  "connection limit, input has stalled, it gets 503 after idle connections are closed") {
    auto stalled = connect(subject, part_of_head);
    time.advance(millis{10});
    auto idle = connect(subject);
    time.advance(millis{500});
    auto third = connect(subject, request);
    CHECK(received(idle) == "closed");
    CHECK(received(stalled).empty());
    auto fourth = connect(subject, request);
    const auto response = received(stalled);
    CHECK(response.starts_with("HTTP/1.1 503 "));
    CHECK(response.find("\r\nRetry-After: 1\r\n") != std::string::npos);
    CHECK(received(stalled) == "closed");
    CHECK(handler.held.size() == 2);
    CHECK(limit->closed_stalled() == 1);
}

// Guards against a request that is refused although its caller is still sending it.
TEST_CASE_FIXTURE(connection_limit_fixture,
                  "connection limit, input makes progress, it is not closed for another connection") {
    auto first = connect(subject, part_of_head);
    auto second = connect(subject, part_of_head);
    time.advance(millis{400});
    boost::asio::write(first, boost::asio::buffer(std::string("s")));
    boost::asio::write(second, boost::asio::buffer(std::string("s")));
    run_ready();
    time.advance(millis{400});
    auto third = connect(subject, request);
    CHECK(handler.held.empty());
    CHECK(received(first).empty());
    CHECK(received(second).empty());
}

// Guards against readiness checks that fail because callers hold all connections.
TEST_CASE_FIXTURE(connection_limit_fixture,
                  "connection limit, callers hold their share, a listener with the reserve still accepts") {
    auto first = connect(subject, request);
    auto second = connect(subject, request);
    auto check = connect(reserved, request);
    CHECK(handler.held.size() == 3);
    CHECK(limit->used() == 3);
}

// Guards against a share that leaves too few descriptors to files and upstreams, and against a limit where
// none is configured.
TEST_CASE("connection limit, options for descriptors, leave half beside files to other connections") {
    CHECK(connection_limit::options_for(0).limit == 0);
    CHECK(connection_limit::options_for(1200).limit == 500);
    CHECK(connection_limit::options_for(1200).reserve == 62);
    CHECK(connection_limit::options_for(100).limit == connection_limit::min_connections);
}

// Guards against refusals by a node whose number of descriptors is not configured.
TEST_CASE("connection limit, no limit, there is always room") {
    connection_limit subject{{}};
    CHECK(subject.make_room(false, instant{millis{1000}}));
    CHECK(subject.waits() == 0);
}

} // namespace berylcrank
