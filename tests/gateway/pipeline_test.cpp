#include "modules/berylcrank_gateway/server/http_listener.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>
#include <doctest/doctest.h>
#include <functional>

namespace berylcrank {

namespace {

using boost::asio::ip::tcp;

// Keeps requests until the test responds to them.
class holding_handler final : public request_handler {
public:
    void handle(const exchange_ptr& it) override {
        it->on_disconnect = [this] { ++disconnected; };
        held.push_back(it);
        ++handled;
    }
    [[nodiscard]] bool closing() const override { return is_closing; }

    // Responds to the oldest request with its target and body.
    void respond_to_first() {
        const auto it = held.front();
        held.pop_front();
        it->respond(200, "OK", {}, it->head.target + " " + it->body);
    }

    std::deque<exchange_ptr> held;
    std::size_t handled{0};
    int disconnected{0};
    bool is_closing{false};
};

/** A listener on loopback and one caller that pipelines requests. The test drives both on one thread. */
struct pipeline_fixture {
    boost::asio::io_context io;
    manual_clock time;
    holding_handler handler;
    ingress_limits limits;
    listener_context context{
        .time = time, .handler = handler, .limits = std::bind_front(&pipeline_fixture::current_limits, this)};
    http_listener subject{io, "127.0.0.1:0", context};
    tcp::socket caller{io};
    std::string received;

    pipeline_fixture() {
        caller.connect({boost::asio::ip::address_v4::loopback(), subject.port()});
        caller.non_blocking(true);
        run_ready();
    }

    void run_ready() {
        io.restart();
        io.poll();
        subject.check_timeouts(time.now(), handler.is_closing);
        io.restart();
        io.poll();
    }

    void send(std::string_view text) {
        boost::asio::write(caller, boost::asio::buffer(text));
        run_ready();
    }

    // Reads what has arrived. Returns false at the end of the connection.
    bool receive() {
        std::array<char, 65536> buf{};
        boost::system::error_code ec;
        while (!ec) {
            const auto n = caller.read_some(boost::asio::buffer(buf), ec);
            received.append(buf.data(), ec ? 0 : n);
        }
        return ec == boost::asio::error::would_block;
    }

    // Runs until `is_met` returns true. Returns false after 10 s.
    bool run_until(const std::function<bool()>& is_met) {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!is_met()) {
            if (std::chrono::steady_clock::now() >= deadline) {
                return false;
            }
            run_ready();
        }
        return true;
    }

    // Responds to the requests as they arrive. Returns whether the responses to the first `count` were
    // received in order, and nothing else.
    bool respond_to_all(int count, bool has_body) {
        return run_until([&] {
            if (!handler.held.empty()) {
                handler.respond_to_first();
                run_ready();
            }
            receive();
            return handler.held.empty() && has_received_all(count, has_body);
        });
    }

    [[nodiscard]] const ingress_limits& current_limits() const { return limits; }

    // Request number n. Its body looks like another request, so that a lost byte does not go unnoticed.
    static std::string request(int n, bool has_body) {
        const std::string body = has_body ? absl::StrCat("GET /body", n, " HTTP/1.1\r\nHost: b\r\n\r\n") : "";
        return absl::StrCat(has_body ? "POST" : "GET", " /", n, " HTTP/1.1\r\nHost: a\r\n",
                            has_body ? absl::StrCat("Content-Length: ", body.size(), "\r\n") : "", "\r\n",
                            body);
    }

    static std::string requests(int count, bool has_body) {
        std::string text;
        for (int n = 0; n < count; ++n) {
            text += request(n, has_body);
        }
        return text;
    }

    // Returns whether the responses to the requests 0 to count - 1 were received in order, and nothing else.
    [[nodiscard]] bool has_received_all(int count, bool has_body) const {
        std::size_t at = 0;
        for (int n = 0; n < count; ++n) {
            const auto body = absl::StrCat(
                "/", n, " ", has_body ? absl::StrCat("GET /body", n, " HTTP/1.1\r\nHost: b\r\n\r\n") : "");
            const auto end = received.find("\r\n\r\n", at);
            if (end == std::string::npos || received.compare(end + 4, body.size(), body) != 0) {
                return false;
            }
            at = end + 4 + body.size();
        }
        return at == received.size();
    }
};

constexpr int full = static_cast<int>(server_connection::max_pipeline);

} // namespace

// Guards against input that is overwritten while the pipeline is full, and against a connection that nothing
// owns while it neither reads nor writes.
TEST_CASE_FIXTURE(pipeline_fixture,
                  "server connection, more requests than the pipeline holds, responds to each with its own") {
    for (const bool has_body : {false, true}) {
        for (const int count : {33, 64, 500}) {
            CAPTURE(count);
            CAPTURE(has_body);
            received.clear();
            handler.handled = 0;
            const auto text = requests(count, has_body);
            send(text.substr(0, text.size() / 2));
            send(text.substr(text.size() / 2));
            CHECK(run_until([&] { return handler.held.size() == full; }));
            REQUIRE(subject.connections() == 1);
            CHECK(respond_to_all(count, has_body));
            CHECK(handler.handled == static_cast<std::size_t>(count));
        }
    }
}

// Guards against a request that loses bytes because the pipeline was full in the middle of it.
TEST_CASE_FIXTURE(pipeline_fixture,
                  "server connection, input split at each byte around the full pipeline, loses no byte") {
    constexpr int count = full + 3;
    for (const bool has_body : {false, true}) {
        const auto text = requests(count, has_body);
        const auto first = requests(full - 1, has_body).size();
        for (auto at = first; at <= text.size(); ++at) {
            CAPTURE(at);
            received.clear();
            send(text.substr(0, at));
            REQUIRE(run_until([&] { return handler.held.size() >= full - 1; }));
            handler.respond_to_first(); // makes room before the rest arrives
            run_ready();
            send(text.substr(at));
            REQUIRE(respond_to_all(count, has_body));
        }
    }
}

// Guards against flows that run on, and slots that stay taken, because their requests are not told that the
// connection has closed.
TEST_CASE_FIXTURE(
    pipeline_fixture,
    "server connection, caller disconnects while the pipeline is full, each request is told once") {
    send(requests(full + 8, false));
    REQUIRE(run_until([&] { return handler.held.size() == full; }));
    caller.close();
    CHECK(run_until([&] { return handler.disconnected == full; }));
    CHECK(subject.connections() == 0);
    CHECK(handler.handled == full);
    handler.respond_to_first(); // has no effect
    run_ready();
    CHECK(handler.disconnected == full);
}

// Guards against memory that grows with what a caller sends while its requests wait.
TEST_CASE_FIXTURE(pipeline_fixture,
                  "server connection, caller sends on while the pipeline is full, stops reading") {
    send(requests(full, false));
    const std::string block(16384, 'x');
    std::size_t sent = 0;
    boost::system::error_code ec;
    while (!ec && sent < (std::size_t{64} << 20U)) {
        sent += caller.write_some(boost::asio::buffer(block), ec);
        run_ready();
    }
    CHECK(ec == boost::asio::error::would_block); // the socket buffers of both ends are full
    CHECK(subject.connections() == 1);
}

// Guards against a stopping node that goes on with a caller that always has a further request under way,
// until its exit cuts off the last ones.
TEST_CASE_FIXTURE(
    pipeline_fixture,
    "server connection, node stops while requests run, the last of them closes the connection") {
    send(requests(3, false));
    REQUIRE(run_until([&] { return handler.held.size() == 3; }));
    handler.respond_to_first();
    run_ready();
    handler.is_closing = true;
    send(request(3, false)); // behind two that run
    handler.respond_to_first();
    run_ready();
    send(request(4, false));
    handler.respond_to_first();
    CHECK(run_until([&] { return !receive(); }));
    CHECK(handler.handled == 3);
    CHECK(has_received_all(3, false));
    const auto close = received.find("Connection: close");
    CHECK(close > received.find("/1 "));
    CHECK(received.find("Connection: close", close + 1) == std::string::npos);
}

// Guards against a connection that stays open, without reading, when the last response has begun before the
// stop.
TEST_CASE_FIXTURE(pipeline_fixture,
                  "server connection, node stops after the last response has begun, closes behind it") {
    send(request(0, false));
    REQUIRE(run_until([&] { return !handler.held.empty(); }));
    const auto it = handler.held.front();
    it->begin(200, "OK", {}, 3);
    it->append("/");
    run_ready();
    handler.is_closing = true;
    send(request(1, false));
    it->append("0 ");
    it->finish();
    CHECK(run_until([&] { return !receive(); }));
    CHECK(has_received_all(1, false));
    CHECK(handler.handled == 1);
}

// Guards against refusing the first request of a connection that was idle when the node began to stop.
TEST_CASE_FIXTURE(
    pipeline_fixture,
    "server connection, node stops while the connection is idle, responds to one more request") {
    handler.is_closing = true;
    send(requests(2, false));
    CHECK(respond_to_all(1, false));
    CHECK(handler.handled == 1);
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(run_until([&] { return !receive(); }));
}

} // namespace berylcrank
