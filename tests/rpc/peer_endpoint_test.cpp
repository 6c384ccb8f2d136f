#include "tests/rpc/peer_fixture.h"

namespace berylcrank::testing {

namespace {

gossip_message make_full_gossip() {
    const peer_info info{.vm = "vm-1",
                         .run = {~0ULL},
                         .failure_domain = "halas",
                         .http_address = "127.0.0.1:1",
                         .rpc_address = "127.0.0.1:2",
                         .leaving = true,
                         .heartbeat_age = millis{12}};
    auto without_heartbeat = info;
    without_heartbeat.heartbeat_age = std::nullopt;
    return {
        .sender = info,
        .applied_offset = 5,
        .state_digest = 6,
        .freshness_age = millis{0},
        .log_reachable = true,
        .peers = {info, without_heartbeat},
        .warm = {{.upstream = "u", .upstream_incarnation = "9f", .warm = true, .sequence = 3, .holder = {4}}},
        .crashes = {{.fingerprint = 1,
                     .upstream = "u",
                     .upstream_incarnation = "9f",
                     .in_flight = 2,
                     .reporter = {8}}},
        .suspects = {{.fingerprint = 9,
                      .cleared_at = instant{} - millis{500},
                      .trial_started = instant{} - millis{20},
                      .losses = {{.upstream = 3,
                                  .run = 4,
                                  .sent_at = instant{} - millis{50},
                                  .lost_at = instant{} - millis{40},
                                  .closed = true}}}}};
}

} // namespace

// Guards against fields that are lost or swapped by encoding or decoding.
TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, every kind of call, request and response arrive complete") {
    const auto sent = make_full_gossip();
    pending_call<gossip_message> gossip;
    client->gossip(server->address(), sent, millis{10000}, gossip.callback());
    CHECK(gossip.wait().response == sent);

    pending_call<std::string> pull;
    client->pull_state(server->address(), 70000, millis{10000}, pull.callback());
    CHECK(pull.wait().response == std::string(70000, '\0'));

    pending_call<permit_response> permit;
    client->acquire_permit(server->address(), {77}, "upstream", request_class::order, millis{10000},
                           permit.callback());
    const auto granted = permit.wait().response;
    CHECK(granted.granted);
    CHECK(granted.permit == 77);
    CHECK(granted.expires_after == millis{8});
    CHECK(granted.retry_after == millis{7});
    CHECK_FALSE(granted.is_holder);

    pending_call<bool> release;
    client->release_permit(server->address(),
                           {.permit = 3,
                            .upstream = "u",
                            .outcome = permit_outcome::failed,
                            .upstream_incarnation = "9f",
                            .reported_cold = true},
                           millis{10000}, release.callback());
    CHECK(release.wait().response);
    CHECK(service.released.outcome == permit_outcome::failed);
    CHECK(service.released.reported_cold);

    pending_call<bool> crash;
    client->report_crash(server->address(), sent.crashes, millis{10000}, crash.callback());
    CHECK(crash.wait().response);
    CHECK(service.crashes == sent.crashes);

    const order_request order{.id = "a-1-1-1.1",
                              .service = "pedidos",
                              .method = "POST",
                              .path = "/s/pedidos/x",
                              .headers = {{"A", "b"}, {"C", ""}},
                              .body = std::string("\0x", 2),
                              .timeout = millis{500}};
    const auto response = relay(order);
    CHECK(response.failure == peer_failure::none);
    CHECK(response.response == order_response{.verdict = run_verdict::ran,
                                              .status = 200,
                                              .headers = order.headers,
                                              .body = order.body,
                                              .reason = order.id,
                                              .id_prefix = order.path});
    CHECK(client->traffic_bytes() > 70000);
}

// Guards against an RPC thread that blocks while an order runs.
TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, order in progress, does not block other calls") {
    pending_call<order_response> slow;
    client->relay_order(server->address(), {.method = "WAIT"}, millis{20000}, slow.callback());
    const auto respond = service.waiting.get_future().get();
    CHECK(relay({.method = "POST"}).failure == peer_failure::none);
    respond({.verdict = run_verdict::not_run, .status = 503});
    CHECK(slow.wait().response.verdict == run_verdict::not_run);
}

// Guards against callers that wait forever for a home node that is paused.
TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, timeout, no_response and the late response is discarded") {
    const auto result = relay({.method = "WAIT"}, millis{30});
    CHECK(result.failure == peer_failure::no_response);
    service.waiting.get_future().get()({.verdict = run_verdict::ran});
    CHECK(relay({.method = "POST"}).failure == peer_failure::none);
}

// Guards against reporting an ended node as not responding, and against keeping its dead connection.
TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, other node stopped and restarted, refused and then served") {
    REQUIRE(relay({.method = "POST"}).failure == peer_failure::none);
    options.address = server->address();
    server.reset();
    // The first call may still use the old connection.
    for (int n = 0; n < 2; ++n) {
        pending_call<bool> once;
        client->report_crash(options.address, {}, millis{10000}, once.callback());
        const auto failure = once.wait().failure;
        CHECK((failure == peer_failure::refused || (n == 0 && failure == peer_failure::no_response)));
    }
    server = make_peer_endpoint(options, service, error);
    REQUIRE(server != nullptr);
    CHECK(relay({.method = "POST"}).failure == peer_failure::none);
}

// Guards against callbacks that never run when a node stops.
TEST_CASE_FIXTURE(peer_fixture,
                  "peer_endpoint, destroyed with calls in progress, they fail with no_response") {
    pending_call<order_response> slow;
    client->relay_order(server->address(), {.method = "WAIT"}, millis{20000}, slow.callback());
    const auto respond = service.waiting.get_future().get();
    client.reset();
    CHECK(slow.wait().failure == peer_failure::no_response);
    server.reset();
    respond({}); // Has no effect after the endpoint was destroyed.
}

// Guards against a lost response when the home node of an order stops as planned right after the order ends.
TEST_CASE_FIXTURE(peer_fixture,
                  "peer_endpoint, destroyed after a response, sends the complete response first") {
    pending_call<order_response> call;
    client->relay_order(server->address(), {.method = "WAIT"}, millis{20000}, call.callback());
    const std::string body(500000, 'x');
    service.waiting.get_future().get()({.verdict = run_verdict::ran, .body = body});
    server.reset();
    CHECK(call.wait().response.body == body);
}

TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, address in use or malformed, reports an error") {
    options.address = server->address();
    CHECK(make_peer_endpoint(options, unused_service, error) == nullptr);
    CHECK(error.find(options.address) != std::string::npos);
    options.address = "node:1";
    CHECK(make_peer_endpoint(options, unused_service, error) == nullptr);
    pending_call<bool> call;
    client->report_crash("nowhere", {}, millis{10000}, call.callback());
    CHECK(call.wait().failure != peer_failure::none);
}

} // namespace berylcrank::testing
