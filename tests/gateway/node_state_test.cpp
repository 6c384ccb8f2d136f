#include "modules/berylcrank_gateway/flow/node_state.h"

#include "platform/platform_adapter.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <fcntl.h>

namespace berylcrank {

namespace {

instant at(std::int64_t ms) {
    return instant{millis{ms}};
}

// State of one node with a cold upstream "a" of the service "s".
struct node_state_fixture {
    boost::asio::io_context io;
    manual_clock time;
    json_wire_format wire;
    event_log log{open("/dev/null", O_WRONLY), "test", time};
    node_state subject{io, time, wire, log, {.self = {.name = "n", .ip = "10.0.0.1"}}, 5};

    node_state_fixture() {
        deployment_config config{.version = 1};
        config.services.push_back({.name = "s", .warm_up = millis{3000}, .warm_up_per_second = 20});
        subject.routes.apply(std::move(config));
        subject.peers.set_ready(true, at(1000) - peer_table::handover_time);
        subject.upstreams.apply({.id = "a",
                                 .service = "s",
                                 .address = "10.0.0.2:80",
                                 .failure_domain = "north",
                                 .slots = 4,
                                 .cold_left = millis{60000}},
                                millis{}, at(0));
    }

    upstream& target() { return *subject.upstreams.find("a"); }
};

} // namespace

// A process that was paused has heard no other node for a while and takes itself for the only one. It must
// not send to cold upstreams, which another node serves by now, until it could hear that node.
TEST_CASE_FIXTURE(node_state_fixture,
                  "node_state, process continues after a pause, sends to no cold upstream") {
    CHECK(subject.may_send_to_cold(target(), at(1000)));
    subject.on_resumed(at(9000));
    CHECK_FALSE(subject.may_send_to_cold(target(), at(9000)));
    const auto heard = at(9000) + peer_table::domain_timeout;
    CHECK_FALSE(subject.may_send_to_cold(target(), heard - millis{1}));
    CHECK(subject.may_send_to_cold(target(), heard));
}

// Guards against full load on an upstream that became cold while the process was paused: 364 requests in a
// second, because the node knew only its state from before the pause.
TEST_CASE_FIXTURE(node_state_fixture,
                  "node_state, process continues after a pause, a warm upstream is cold until a probe") {
    subject.apply_warm_up(target(), {}, at(1000), at(1010));
    REQUIRE(target().cold_until == at(1010));
    subject.on_resumed(at(9000));
    CHECK(target().cold_until == at(9000 + 3000));
    CHECK_FALSE(subject.may_send_to_cold(target(), at(9000)));
    subject.apply_warm_up(target(), {}, at(1020), at(9001)); // sent before the pause
    CHECK(target().cold_until == at(9000 + 3000));
    subject.apply_warm_up(target(), {}, at(9001), at(9005));
    CHECK(target().cold_until == at(9005));
}

// Guards against a shorter warm-up by a pause: an upstream that was cold before may have become cold again.
TEST_CASE_FIXTURE(node_state_fixture,
                  "node_state, process continues after a pause, a long warm-up remains as it was") {
    REQUIRE(target().cold_until == at(60000));
    subject.on_resumed(at(9000));
    CHECK(target().cold_until == at(60000));
}

// Guards against messages that were received during the pause and state that an upstream is warm. Later
// messages must end the wait, so that the cost to callers stays small.
TEST_CASE_FIXTURE(
    node_state_fixture,
    "node_state, process continues after a pause, messages from the pause do not end a warm-up") {
    subject.apply_warm_up(target(), {}, at(1000), at(1010));
    subject.on_resumed(at(9000));
    subject.apply_peer_warm_up(target(), millis{}, at(9001));
    CHECK(target().cold_until == at(9000 + 3000));
    subject.apply_peer_warm_up(target(), millis{5000}, at(9002));
    CHECK(target().cold_until == at(9002 + 5000));
    const auto read = at(9000) + node_state::resume_read_time;
    subject.apply_peer_warm_up(target(), millis{}, read);
    CHECK(target().cold_until == read);
}

// Guards against callers that wait after a pause although their service has no limit for cold upstreams.
TEST_CASE_FIXTURE(
    node_state_fixture,
    "node_state, process continues after a pause, upstreams of services without a limit stay warm") {
    deployment_config config{.version = 2};
    config.services.push_back({.name = "s", .warm_up = millis{3000}});
    subject.routes.apply(std::move(config));
    subject.apply_warm_up(target(), {}, at(1000), at(1010));
    subject.on_resumed(at(9000));
    CHECK(target().cold_until == at(1010));
}

// Guards against a stopping node that admits requests to a cold upstream beside the node that replaces it.
TEST_CASE_FIXTURE(node_state_fixture, "node_state, node stops, sends to no cold upstream") {
    subject.peers.set_ready(false, at(1000));
    CHECK_FALSE(subject.may_send_to_cold(target(), at(1000)));
    CHECK(subject.is_responsible_for(target(), at(1000))); // it still probes while no other node does
}

// Callers that queue behind a paused upstream must not wait longer than it asked for, nor less.
TEST_CASE_FIXTURE(node_state_fixture,
                  "node_state, several or malformed retry headers, the longest valid one counts") {
    subject.apply_retry_after(target(), {{"Retry-After", "soon"}}, at(1000));
    CHECK(target().paused_until == instant{});
    subject.apply_retry_after(target(), {{"Retry-After", "0"}}, at(1000));
    CHECK(target().paused_until == instant{});
    subject.apply_retry_after(target(), {{"Retry-After", "0.5"}, {"retry-after", "2"}, {"Retry-After", "x"}},
                              at(1000));
    CHECK(target().paused_until == at(3000));
    subject.apply_retry_after(target(), {{"Retry-After", "0.1"}}, at(1100));
    CHECK(target().paused_until == at(3000));
}

// An upstream that announces its stop must not be used again, and the other nodes must hear of it.
TEST_CASE_FIXTURE(node_state_fixture,
                  "node_state, upstream announces its stop, is told to the other nodes once") {
    subject.apply_leaving(target(), {{"Server-Leaving", "0"}}, at(1000));
    CHECK(subject.upstreams.usable(target()));
    CHECK(subject.announced_leaves.empty());
    subject.apply_leaving(target(), {{"server-leaving", "1"}}, at(1000));
    subject.apply_leaving(target(), {{"Server-Leaving", "1"}}, at(1010));
    CHECK_FALSE(subject.upstreams.usable(target()));
    CHECK(subject.announced_leaves == std::vector<std::uint32_t>{target().number});
    CHECK(subject.announced_leaves_until == at(1000) + node_state::leave_repeat_time);
}

// A malformed load must not replace the last one, nor poison the mean of all upstreams.
TEST_CASE_FIXTURE(node_state_fixture, "node_state, response with a malformed load, keeps the last one") {
    const auto load = subject.apply_response(
        target(), {.status = 200, .headers = {{"Server-Load", "2,1,4,300"}}}, at(900), at(1000));
    REQUIRE(load);
    CHECK(load->slowness == doctest::Approx(3));
    const auto mean = subject.loads.mean_slowness();
    CHECK_FALSE(subject.apply_response(target(), {.status = 200, .headers = {{"Server-Load", "2,1,4,nan"}}},
                                       at(900), at(1100)));
    CHECK(subject.loads.find(target().number)->report.at == at(1000));
    CHECK(subject.loads.mean_slowness() == mean);
    CHECK(target().paused_until == instant{});
}

// An upstream must not go out of use because another one, which has its address now, leaves.
TEST_CASE_FIXTURE(node_state_fixture,
                  "node_state, another upstream responds at the address, changes nothing") {
    const header_list headers{{"Server-Leaving", "1"}, {"Server-Load", "4,8,4,400"}};
    CHECK_FALSE(subject.apply_response(target(), {.status = 421, .headers = headers}, at(900), at(1000)));
    CHECK(subject.upstreams.usable(target()));
    CHECK(subject.loads.find(target().number) == nullptr);
    CHECK(subject.apply_response(target(), {.status = 200, .headers = headers}, at(900), at(1000)));
    CHECK_FALSE(subject.upstreams.usable(target()));
}

// A cold upstream must not count as warm because the time that it states cannot be read.
TEST_CASE_FIXTURE(node_state_fixture, "node_state, malformed warm-up time, the upstream stays cold") {
    for (const auto* text : {"nan", "-1", "1e300", "soon", ""}) {
        CAPTURE(text);
        subject.apply_warm_up(target(), {{"Warmup-Ms", text}}, at(1000), at(1010));
        CHECK(target().cold_until == at(60000));
    }
    subject.apply_warm_up(target(), {{"Warmup-Ms", "500"}}, at(1000), at(1010));
    CHECK(target().cold_until == at(1510));
    subject.apply_warm_up(target(), {}, at(1005), at(1020)); // Sent before the last update.
    CHECK(target().cold_until == at(1510));
    subject.apply_warm_up(target(), {}, at(1010), at(1020));
    CHECK(target().cold_until == at(1020));
}

// Guards against dropping the crash of an upstream that starts again under its id, because it responds before
// its new registration arrives.
TEST_CASE_FIXTURE(node_state_fixture,
                  "node_state, upstream responds on a connection from after the loss, has not survived it") {
    const upstream_loss loss{.upstream = target().number, .sent_at = at(2000), .lost_at = at(2100)};
    subject.loads.reachable(target().number, at(500), at(2000));
    subject.loads.reachable(target().number, at(5000), at(5200));
    CHECK_FALSE(subject.has_survived(loss));
    subject.loads.report(target().number, {.at = at(5300), .connected_at = at(5000)}, false);
    CHECK_FALSE(subject.has_survived(loss));
    subject.loads.reachable(target().number, at(2050), at(5400)); // before the node noticed the loss
    CHECK_FALSE(subject.has_survived(loss));
}

// Guards against refusing requests whose responses were lost although the upstream goes on running.
TEST_CASE_FIXTURE(node_state_fixture,
                  "node_state, upstream responds on connections from before the loss, has survived it") {
    const upstream_loss loss{.upstream = target().number, .sent_at = at(2000), .lost_at = at(2100)};
    subject.loads.reachable(target().number, at(500), at(2150)); // may have been on its way at the crash
    CHECK_FALSE(subject.has_survived(loss));
    subject.loads.reachable(target().number, at(500), at(2300));
    CHECK(subject.has_survived(loss));
    // Each of these connections overlaps with the one before, so the upstream has run all the time.
    subject.loads.report(target().number, {.at = at(6000), .connected_at = at(2150)}, false);
    subject.loads.reachable(target().number, at(5500), at(9000));
    CHECK(subject.has_survived(loss));
    subject.loads.reachable(target().number, at(9500), at(9900));
    CHECK_FALSE(subject.has_survived(loss));
}

} // namespace berylcrank
