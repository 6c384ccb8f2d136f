#include "tests/rpc/peer_fixture.h"

namespace berylcrank::testing {

namespace {

gossip_message full_gossip() {
    const peer_info info{.vm = "vm-1",
                         .run = {~0ULL},
                         .failure_domain = "halas",
                         .http_address = "127.0.0.1:1",
                         .rpc_address = "127.0.0.1:2",
                         .leaving = true,
                         .heartbeat_age = millis{12}};
    auto never_heard = info;
    never_heard.heartbeat_age = std::nullopt;
    return {
        .sender = info,
        .applied_offset = 5,
        .state_digest = 6,
        .freshness_age = millis{0},
        .log_reachable = true,
        .peers = {info, never_heard},
        .warm = {{.upstream = "u", .upstream_incarnation = "9f", .warm = true, .sequence = 3, .holder = {4}}},
        .crashes = {{.fingerprint = 1,
                     .upstream = "u",
                     .upstream_incarnation = "9f",
                     .in_flight = 2,
                     .reporter = {8}}}};
}

} // namespace

// Guards against a field that is lost or swapped on the wire.
TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, every call, arrives and is answered whole") {
    const auto sent = full_gossip();
    pending_call<gossip_message> gossip;
    client->gossip(server->address(), sent, millis{10000}, gossip.callback());
    CHECK(gossip.wait().answer == sent);

    pending_call<std::string> pull;
    client->pull_state(server->address(), 70000, millis{10000}, pull.callback());
    CHECK(pull.wait().answer == std::string(70000, '\0'));

    pending_call<permit_answer> permit;
    client->acquire_permit(server->address(), {77}, "upstream", request_class::order, millis{10000},
                           permit.callback());
    const auto granted = permit.wait().answer;
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
    CHECK(release.wait().answer);
    CHECK(service.released.outcome == permit_outcome::failed);
    CHECK(service.released.reported_cold);

    pending_call<bool> crash;
    client->report_crash(server->address(), sent.crashes, millis{10000}, crash.callback());
    CHECK(crash.wait().answer);
    CHECK(service.crashes == sent.crashes);

    const order_request order{.id = "a-1-1-1.1",
                              .service = "pedidos",
                              .method = "POST",
                              .path = "/s/pedidos/x",
                              .headers = {{"A", "b"}, {"C", ""}},
                              .body = std::string("\0x", 2),
                              .timeout = millis{500}};
    const auto answer = relay(order);
    CHECK(answer.failure == peer_failure::none);
    CHECK(answer.answer == order_response{.verdict = run_verdict::ran,
                                          .status = 200,
                                          .headers = order.headers,
                                          .body = order.body,
                                          .reason = order.id,
                                          .id_prefix = order.path});
    CHECK(client->traffic_bytes() > 70000);
}

// Guards against an RPC thread that blocks while an order runs.
TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, order that runs, does not hold up other calls") {
    pending_call<order_response> slow;
    client->relay_order(server->address(), {.method = "WAIT"}, millis{20000}, slow.callback());
    const auto reply = service.waiting.get_future().get();
    CHECK(relay({.method = "POST"}).failure == peer_failure::none);
    reply({.verdict = run_verdict::not_run, .status = 503});
    CHECK(slow.wait().answer.verdict == run_verdict::not_run);
}

// Guards against callers that wait for ever for a home that is paused.
TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, no answer in time, is silent and a late answer is dropped") {
    const auto result = relay({.method = "WAIT"}, millis{30});
    CHECK(result.failure == peer_failure::no_response);
    service.waiting.get_future().get()({.verdict = run_verdict::ran});
    CHECK(relay({.method = "POST"}).failure == peer_failure::none);
}

// Guards against taking an ended node for a silent one, and against keeping its dead connection.
TEST_CASE_FIXTURE(peer_fixture,
                  "peer_endpoint, other node ended and started again, refused and then answered") {
    REQUIRE(relay({.method = "POST"}).failure == peer_failure::none);
    options.address = server->address();
    server.reset();
    // The first call may still meet the old connection.
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

// Guards against callbacks that are lost when a node stops.
TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, stopped with calls in progress, answers them as silent") {
    pending_call<order_response> slow;
    client->relay_order(server->address(), {.method = "WAIT"}, millis{20000}, slow.callback());
    const auto reply = service.waiting.get_future().get();
    client.reset();
    CHECK(slow.wait().failure == peer_failure::no_response);
    server.reset();
    reply({}); // After the end of the endpoint a reply has no effect.
}

// Guards against an order whose answer is lost because its home stops as planned right after the order's end.
TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, stopped after a reply, sends the whole reply first") {
    pending_call<order_response> call;
    client->relay_order(server->address(), {.method = "WAIT"}, millis{20000}, call.callback());
    const std::string body(500000, 'x');
    service.waiting.get_future().get()({.verdict = run_verdict::ran, .body = body});
    server.reset();
    CHECK(call.wait().answer.body == body);
}

TEST_CASE_FIXTURE(peer_fixture, "peer_endpoint, address in use or malformed, is reported") {
    options.address = server->address();
    CHECK(make_peer_endpoint(options, unused, error) == nullptr);
    CHECK(error.find(options.address) != std::string::npos);
    options.address = "node:1";
    CHECK(make_peer_endpoint(options, unused, error) == nullptr);
    pending_call<bool> call;
    client->report_crash("nowhere", {}, millis{10000}, call.callback());
    CHECK(call.wait().failure != peer_failure::none);
}

} // namespace berylcrank::testing
