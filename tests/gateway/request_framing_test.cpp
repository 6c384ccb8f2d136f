#include "modules/berylcrank_gateway/server/http_listener.h"

#include <absl/strings/str_cat.h>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <functional>
#include <vector>

namespace berylcrank {

namespace {

using boost::asio::ip::tcp;

// Responds to each request at once and keeps what would be forwarded.
class recording_handler final : public request_handler {
public:
    void handle(const exchange_ptr& it) override {
        requests.push_back(it);
        it->respond(200, "OK", {}, "");
    }
    [[nodiscard]] bool closing() const override { return false; }

    std::vector<exchange_ptr> requests;
};

/** A listener on loopback and one caller that sends raw bytes. The test drives both on one thread. */
struct request_fixture {
    boost::asio::io_context io;
    manual_clock time;
    recording_handler handler;
    ingress_limits limits;
    listener_context context{
        .time = time, .handler = handler, .limits = std::bind_front(&request_fixture::current_limits, this)};
    http_listener subject{io, "127.0.0.1:0", context};
    tcp::socket caller{io};
    std::string received;
    bool is_ended{false};

    request_fixture() {
        caller.connect({boost::asio::ip::address_v4::loopback(), subject.port()});
        caller.non_blocking(true);
        run_ready();
    }

    void run_ready() {
        io.restart();
        io.poll();
    }

    void send(std::string_view text) {
        boost::system::error_code ec;
        boost::asio::write(caller, boost::asio::buffer(text), ec);
        run_ready();
        std::array<char, 65536> buf{};
        while (!ec) {
            const auto n = caller.read_some(boost::asio::buffer(buf), ec);
            received.append(buf.data(), ec ? 0 : n);
        }
        is_ended = ec != boost::asio::error::would_block;
    }

    [[nodiscard]] const ingress_limits& current_limits() const { return limits; }
};

struct refused_coding {
    std::string fields;
    int status;
};

const std::vector<refused_coding> refused_codings = {
    {"Transfer-Encoding: gzip\r\n", 501},
    {"Transfer-Encoding: identity\r\n", 501},
    {"Transfer-Encoding: xchunked\r\n", 501},
    {"Transfer-Encoding: chunkedx\r\n", 501},
    {"Transfer-Encoding: gzip, chunked\r\n", 501},
    {"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", 501},
    {"Transfer-Encoding: gzip\r\nContent-Length: 5\r\n", 501},
    {"transfer-encoding: GZIP\r\n", 501},
    {"Transfer-Encoding: chunked;a=b\r\n", 501},
    {"Transfer-Encoding: chunked, identity\r\n", 400},
    {"Transfer-Encoding: chunked, gzip, identity\r\n", 400},
    {"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", 400},
    {"Transfer-Encoding: chunked, chunked\r\n", 400},
    {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", 400},
    {"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", 400},
    {"Transfer-Encoding: \r\n", 400},
    {"Transfer-Encoding: ,\r\n", 400},
};

// A body that is a request itself if it is not taken for the body.
const std::string smuggled_body = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";

std::string request_with(std::string_view fields) {
    return absl::StrCat("POST /a HTTP/1.1\r\nHost: a\r\n", std::string(fields), "\r\n", smuggled_body);
}

const std::string chunked_request = "POST /a HTTP/1.1\r\nHost: a\r\nRequest-Id: own\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
                                    "Request-Id: other\r\nX-Trailer: t\r\n\r\n";

} // namespace

// Guards against request smuggling: a body whose coding is not understood is read as a further request.
TEST_CASE(
    "server connection, request with a coding other than chunked, is refused and the connection closes") {
    for (const auto& [fields, status] : refused_codings) {
        CAPTURE(fields);
        request_fixture it;
        it.send(request_with(fields));
        CHECK(it.received.starts_with(absl::StrCat("HTTP/1.1 ", status, " ")));
        CHECK(it.received.find("Connection: close\r\n") != std::string::npos);
        CHECK(it.received.find("HTTP/1.1", 1) == std::string::npos); // no further response
        CHECK(it.is_ended);
        CHECK(it.handler.requests.empty());
    }
}

// Guards against the same if the request arrives in two reads.
TEST_CASE("server connection, coding other than chunked split at any byte, is refused") {
    for (const auto& [fields, status] : refused_codings) {
        const auto text = request_with(fields);
        for (std::size_t cut = 1; cut < text.size(); cut += 3) {
            request_fixture it;
            it.send(std::string_view(text).substr(0, cut));
            it.send(std::string_view(text).substr(cut));
            CHECK_MESSAGE(it.received.starts_with(absl::StrCat("HTTP/1.1 ", status, " ")), text, " at ", cut);
            CHECK(it.handler.requests.empty());
        }
    }
}

// Guards against a refusal that overtakes the response to an earlier request, or replaces it.
TEST_CASE_FIXTURE(request_fixture, "server connection, unknown coding behind a request, is refused second") {
    send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n" + request_with("Transfer-Encoding: gzip\r\n"));
    CHECK(received.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(received.find("HTTP/1.1 501 Not Implemented\r\n") != std::string::npos);
    REQUIRE(handler.requests.size() == 1);
    CHECK(handler.requests.front()->head.target == "/first");
    CHECK(is_ended);
}

// Guards against a check that also refuses valid codings.
TEST_CASE("server connection, chunked in any notation, is accepted") {
    for (const auto* value : {"chunked", "Chunked", " chunked ", ", chunked", "chunked ,"}) {
        CAPTURE(value);
        request_fixture it;
        it.send(absl::StrCat("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: ", value,
                             "\r\n\r\n5\r\nhello\r\n0\r\n\r\n"));
        CHECK(it.received.starts_with("HTTP/1.1 200 "));
        REQUIRE(it.handler.requests.size() == 1);
        CHECK(it.handler.requests.front()->body == "hello");
    }
}

// Guards against trailers that are forwarded as header fields, for instance a second Request-Id.
TEST_CASE("server connection, request with trailers, drops them") {
    for (std::size_t cut = 1; cut < chunked_request.size(); ++cut) {
        CAPTURE(cut);
        request_fixture it;
        it.send(std::string_view(chunked_request).substr(0, cut));
        it.send(std::string_view(chunked_request).substr(cut));
        REQUIRE(it.handler.requests.size() == 1);
        const auto& request = *it.handler.requests.front();
        CHECK(request.body == "hello");
        CHECK(request.head.headers.size() == 3);
        CHECK(*find_header(request.head.headers, "Request-Id") == "own");
        CHECK(find_header(request.head.headers, "X-Trailer") == nullptr);
    }
}

// Guards against response trailers that count as header fields if they arrive in the same read.
TEST_CASE("response_parser, response with trailers, drops them") {
    response_parser subject;
    boost::beast::error_code ec;
    subject.feed("HTTP/1.1 503 Status\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nNot-Executed: 1\r\n\r\n", ec);
    CHECK_FALSE(ec);
    CHECK(subject.is_done());
    CHECK(subject.head.headers.size() == 1);
}

} // namespace berylcrank
