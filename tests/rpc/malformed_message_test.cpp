#include "modules/berylcrank_core/random/random_source.h"
#include "tests/rpc/peer_fixture.h"
#include "tests/support/raw_socket.h"

#include <thread>

namespace berylcrank::testing {

namespace {

/** Returns the bytes that a client sends for one relayed order. */
std::string capture_call_bytes(peer_endpoint& client) {
    const raw_listener listener;
    pending_call<order_response> call;
    client.relay_order(listener.address(),
                       {.id = "a-1-1-1.1", .method = "POST", .headers = {{"A", "b"}}, .body = "body"},
                       millis{20000}, call.callback());
    return listener.accept().read_until("body");
}

/** Overwrites up to 8 random bytes and truncates one message in four. */
std::string corrupt(std::string bytes, random_source& random) {
    for (auto n = 1 + random.below(8); n > 0; --n) {
        bytes[random.below(bytes.size())] = static_cast<char>(random.next());
    }
    return random.below(4) == 0 ? bytes.substr(0, random.below(bytes.size())) : bytes;
}

} // namespace

// Guards against malformed input from another node, or from any client of the port, that crashes or blocks
// the node.
TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, malformed calls, connection closed and node keeps serving") {
    const auto call = capture_call_bytes(*client);
    seeded_random random(3);
    for (int n = 0; n < 300; ++n) {
        CAPTURE(n);
        raw_connection::to(server->address()).send(corrupt(call, random));
    }
    CHECK(relay({.method = "POST", .body = "x"}).response.body == "x");
}

// Guards against memory use by a message that declares a large size, or has one.
TEST_CASE_FIXTURE(peer_fixture,
                  "peer_endpoint, oversized message, connection closed without waiting for the rest") {
    const std::string one_segment(4, '\0');
    for (const auto& head :
         {one_segment + std::string("\0\0\0\x10", 4), one_segment + std::string("\xff\xff\xff\xff", 4),
          std::string("\xff\xff\xff\x7f", 4) + std::string(4, '\0'), std::string(8, '\xff')}) {
        auto connection = raw_connection::to(server->address());
        connection.send(head + std::string(64, 'x'));
        CHECK(connection.wait_closed());
    }
    CHECK(relay({.method = "POST", .body = std::string(options.message_bytes, 'x')}).failure ==
          peer_failure::invalid);
    const std::string body(options.message_bytes - 4096, 'x');
    CHECK(relay({.method = "POST", .body = body}).response.body == body);
}

// Guards against a malformed response that crashes the client or leaves the call pending.
TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, malformed response, call fails") {
    seeded_random random(4);
    for (int n = 0; n < 50; ++n) {
        const raw_listener listener;
        pending_call<order_response> call;
        client->relay_order(listener.address(), {.method = "POST"}, millis{20000}, call.callback());
        auto connection = listener.accept();
        connection.read(8);
        std::string bytes(static_cast<std::size_t>(8 + random.below(200)), '\0');
        for (auto& byte : bytes) {
            byte = static_cast<char>(random.below(4) == 0 ? random.next() : 0);
        }
        connection.send(bytes);
        connection.close();
        CHECK(call.wait().failure != peer_failure::none);
    }
}

// Guards against data races between calling threads and the RPC thread.
TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, calls from several threads, each gets its own response") {
    std::vector<std::thread> threads;
    std::atomic<int> wrong{0};
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&, t] {
            for (int n = 0; n < 200; ++n) {
                const auto text = std::to_string(t) + "-" + std::to_string(n);
                pending_call<order_response> call;
                client->relay_order(server->address(), {.method = "POST", .body = text}, millis{20000},
                                    call.callback());
                wrong += call.promise->get_future().get().response.body == text ? 0 : 1;
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK(wrong == 0);
}

} // namespace berylcrank::testing
