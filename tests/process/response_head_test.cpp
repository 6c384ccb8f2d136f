#include "modules/berylcrank_http/client/http_fetch.h"
#include "modules/berylcrank_platform/http/http_transfer.h"
#include "tests/support/platform_deployment.h"
#include "tests/support/raw_socket.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>
#include <thread>

namespace berylcrank::testing {

namespace {

// A server that sends a text in response to one request and closes the connection.
class one_response_server {
public:
    explicit one_response_server(std::string text)
        : thread_([this, text = std::move(text)] {
              auto connection = listener_.accept();
              connection.read_until("\r\n\r\n");
              connection.send(text);
              connection.close();
          }) {}

    [[nodiscard]] std::string address() const { return listener_.address(); }

private:
    raw_listener listener_;
    std::jthread thread_;
};

const std::vector<std::string> cut_heads = {
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nConte",
    "HTTP/1.1 200 OK\r\nX-One: 1\r\n",
    "HTTP/1.1 200 OK\r\nX-One: 1\r\nX-Two: 2",
    "HTTP/1.1 200 OK\r\nX-One: 1\r\nX-Two: 2\r\n",
    "HTTP/1.1 200 OK\r\nX-One: 1\r\n\r",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
    "HTTP/1.1 204 No Content\r\n",
    "HTTP/1.1 304 Not Modified\r\nX-One: 1\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
};

// Complete responses with the body "[]".
const std::vector<std::string> whole_responses = {
    "HTTP/1.1 200 OK\r\n\r\n[]",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\nX-Trailer: 1\r\n\r\n",
};

std::optional<std::string> fetch(const std::string& address) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<std::string>> {
            BOOST_LEAF_AUTO(body, http_fetch(address, "/", millis{5000}));
            return std::optional(std::move(body));
        },
        [] { return std::optional<std::string>(); });
}

} // namespace

// Guards against a response of the log or the VM list that counts as a complete one without a body, because
// the server stopped within its head.
TEST_CASE("http_transfer, server closes within the head, the response is not complete") {
    for (const auto& text : cut_heads) {
        CAPTURE(text);
        for (const bool posts : {false, true}) {
            const one_response_server server(text);
            http_transfer subject;
            const auto url = "http://" + server.address() + "/";
            const auto result = posts ? subject.post(url, "x", millis{5000}) : subject.get(url, millis{5000});
            CHECK(result.what == http_result::kind::refused);
        }
    }
}

// Guards against a check of the head that also rejects complete responses.
TEST_CASE("http_transfer, whole response in any framing, is complete") {
    for (const auto& text : whole_responses) {
        CAPTURE(text);
        const one_response_server server(text);
        http_transfer subject;
        const auto result = subject.get("http://" + server.address() + "/", millis{5000});
        CHECK(result.what == http_result::kind::completed);
        CHECK(result.status == 200);
        CHECK(result.body == "[]");
    }
}

// Guards against a command line tool that shows an empty report for a node that stopped within the head.
TEST_CASE("http_fetch, server closes within the head, fails") {
    for (const auto& text : cut_heads) {
        CAPTURE(text);
        const one_response_server server(text);
        CHECK_FALSE(fetch(server.address()));
    }
    for (const auto& text : whole_responses) {
        CAPTURE(text);
        const one_response_server server(text);
        CHECK(fetch(server.address()) == "[]");
    }
}

// Guards against a caller that gets a success for a response of which only part of the head arrived, and
// against an order that runs twice because of it.
TEST_CASE("gateway, upstream closes within the head of its response, caller gets no success") {
    platform_deployment subject{1, 2};
    const auto& node = subject.nodes().front();
    for (const auto* service : {"orders", "lookups"}) {
        const bool is_order = std::string(service) == "orders";
        for (const int cut : {0, 9, 17, 30, 40}) {
            CAPTURE(cut);
            for (const auto* it : subject.workers_of(service)) {
                platform_deployment::configure_worker(*it, "mode=cut-head&cut=" + std::to_string(cut));
            }
            const auto id = "c-" + std::string(service) + '-' + std::to_string(cut);
            auto connection = raw_connection::to(node.front);
            REQUIRE(connection.send(std::string(is_order ? "POST /o/a" : "GET /l/a") +
                                    " HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\nRequest-Id: " +
                                    id + "\r\nRequest-Timeout-Ms: 1500\r\n\r\n"));
            CHECK(connection.read_message().starts_with("HTTP/1.1 502"));
            CHECK((!is_order || subject.execution_count(id) == 1));
        }
    }
}

} // namespace berylcrank::testing
