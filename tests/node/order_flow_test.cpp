#include "tests/node/order_world.h"

#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

struct order_flow_fixture {
    order_world world{{.nodes = 3}};

    std::string verdict_of(const std::string& id, std::size_t node = 0) {
        const auto it = world.send(node, id);
        world.run_all();
        return it->verdict();
    }
};

} // namespace

// Guards against two runs when a caller sends one order to all nodes at once.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, one id sent to all nodes at once, runs once and all get its answer") {
    const auto id = world.mint(1);
    std::vector<std::shared_ptr<fake_exchange>> copies;
    for (std::size_t n = 0; n < 3; ++n) {
        copies.push_back(world.send(n, id));
    }
    world.run_all();
    for (const auto& it : copies) {
        CHECK(it->verdict() == "ran");
        CHECK(it->answered->body == "bb");
        CHECK(find_header(it->answered->head.headers, "X-Answer") == "1");
        CHECK_FALSE(find_header(it->answered->head.headers, "Berylcrank-Load").has_value());
    }
    CHECK(world.executions[id] == 1);
}

// Guards against a resend that changes the outcome, for each way in which an attempt can end.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, resent after each outcome, gets the same verdict and never runs again") {
    const std::vector<std::pair<std::vector<upstream_mood>, std::string>> cases{
        {{upstream_mood::good}, "ran"},
        {{upstream_mood::shed, upstream_mood::good}, "ran"},
        {{upstream_mood::unreachable, upstream_mood::unreachable}, "not-run"},
        {{upstream_mood::denied, upstream_mood::good}, "ran"},
        // The check before the first byte may abandon eight attempts; the ninth counts as a try.
        {{upstream_mood::unreachable, upstream_mood::denied, upstream_mood::denied, upstream_mood::denied,
          upstream_mood::denied, upstream_mood::denied, upstream_mood::denied, upstream_mood::denied,
          upstream_mood::denied, upstream_mood::denied},
         "not-run"},
        {{upstream_mood::shed, upstream_mood::shed}, "not-run"},
        {{upstream_mood::reset_after}, "may-have-run"},
        {{upstream_mood::reset_before}, "may-have-run"},
        {{upstream_mood::truncated}, "may-have-run"},
        {{upstream_mood::sent_twice}, "may-have-run"},
        {{upstream_mood::misjudged}, "may-have-run"}};
    for (const auto& [moods, expected] : cases) {
        CAPTURE(expected);
        world.moods.assign(moods.begin(), moods.end());
        const auto id = world.mint(0);
        CHECK(verdict_of(id) == expected);
        CHECK(verdict_of(id, 1) == expected);
        CHECK(world.moods.empty());
    }
}

// Guards against running what has no valid id, and against "not run" for a real id that is sent twice in one
// request. That all answers carry verdict and prefix is checked by the fake exchange.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, no single valid id, refused and not run unless a real id is among them") {
    const auto id = world.mint(0);
    const std::string forged = "00000000000000a0-0-7-1234.1";
    const auto key = [](const std::string& it) { return http_header{"Idempotency-Key", it}; };
    const std::vector<std::pair<std::vector<http_header>, std::string>> cases{
        {{}, "not-run"},
        {{key("x")}, "not-run"},
        {{key(id + " ")}, "not-run"},
        {{key(forged)}, "not-run"},
        {{key("x"), key(forged)}, "not-run"},
        {{key(id), {"idempotency-key", id}}, "may-have-run"},
        {{key("x"), key(world.mint(1))}, "may-have-run"}};
    for (const auto& [headers, expected] : cases) {
        const auto it =
            std::make_shared<fake_exchange>(world, http_request{.method = "POST", .headers = headers});
        world.nodes[0]->flow->handle(it, {.service = "pedidos", .path = "/", .timeout = millis{100}});
        REQUIRE(it->answered.has_value());
        CHECK(it->answered->head.status == 400);
        CHECK(it->verdict() == expected);
    }
    CHECK(world.nodes[0]->flow->count().invalid == cases.size());
    CHECK_FALSE(world.has_steps());
}

// Guards against retries that an overloaded upstream asks not to make, here and at the caller, and against an
// attempt at a client that is ending.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, shed without retry or cancelled, refused at once and marked") {
    for (const auto mood : {upstream_mood::shed_no_retry, upstream_mood::cancelled}) {
        world.moods = {mood, upstream_mood::good};
        const auto it = world.send(0, world.mint(0));
        world.run_all();
        CHECK(it->verdict() == "not-run");
        CHECK(find_header(it->answered->head.headers, "Berylcrank-Retry") == "no");
        CHECK(world.moods.size() == 1);
    }
}

// Guards against "not run" from a node that is not the home.
TEST_CASE_FIXTURE(order_flow_fixture, "order_flow, home unknown, ended or silent, may have run") {
    const auto id = world.mint(2);
    CHECK(verdict_of("00000000000000ff-0-1-1.1") == "may-have-run");
    for (const auto mood : {relay_mood::lost, relay_mood::answer_lost}) {
        world.relays = {mood};
        CHECK(verdict_of(id) == "may-have-run");
    }
    world.restart(2);
    CHECK(verdict_of(id) == "may-have-run");
    CHECK(verdict_of(id, 2) == "may-have-run");
    CHECK(world.executions[id] == 1);
    order_response relayed;
    world.nodes[0]->flow->handle_relayed({.id = id}, [&](order_response it) { relayed = std::move(it); });
    CHECK(relayed.verdict == run_verdict::may_have_run);
}

// Guards against stale work that is sent after a pause.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, paused past the deadline between routing and sending, not run") {
    const auto id = world.mint(0);
    const auto it = world.send(0, id);
    world.run_random_step(); // Routing; the attempt is about to connect.
    world.time.advance(millis{1000});
    world.run_all();
    CHECK(it->verdict() == "not-run");
    CHECK(verdict_of(id) == "not-run");
    CHECK(world.executions[id] == 0);
}

// Guards against "not run" at the deadline of an order that was sent.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, deadline passes while the order runs, may have run, then recorded") {
    const auto id = world.mint(0);
    const auto it = world.send(0, id);
    world.run_random_step();
    world.run_random_step(); // Sent.
    world.advance(millis{1000});
    CHECK(it->verdict() == "may-have-run");
    CHECK(verdict_of(id) == "ran");
}

// Guards against a refused copy that runs later, and against a table that forgets.
TEST_CASE("order_flow, table full, refused for ever, a fresh prefix is accepted once there is room") {
    order_world world{{.nodes = 1, .table = {.shards = 1, .max_entries = 1, .lifetime = millis{2000}}}};
    const auto first = world.mint(0);
    world.send(0, first);
    world.run_all();
    world.advance(millis{1500});
    const auto refused = world.send(0, world.mint(0));
    CHECK(refused->verdict() == "not-run");
    const std::string prefix{*find_header(refused->answered->head.headers, "Berylcrank-Id-Prefix")};
    world.advance(millis{1500});
    const auto id = refused->request().headers[0].value;
    CHECK(world.send(0, id)->verdict() == "not-run");
    const auto accepted = world.send(0, prefix + ".1");
    world.run_all();
    CHECK(accepted->verdict() == "ran");
    const auto expired = world.send(0, first);
    CHECK(expired->verdict() == "may-have-run");
    CHECK(expired->answered->head.status == 410);
    CHECK(world.send(0, prefix + ".1", "other content")->answered->head.status == 422);
}

// Guards against an order that stops when its caller leaves, and against an answer cut short without a sign.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, answer above the recordable size, streamed whole or failed") {
    world.answer_bytes = 1000;
    std::string bytes(2000, ' ');
    body_buffer::state end{};
    auto id = world.mint(0);
    auto it = world.send(0, id);
    world.run_all();
    REQUIRE(it->stream != nullptr);
    CHECK(it->stream->pull(bytes) == 1000);
    CHECK((it->stream->is_drained(end) && end == body_buffer::state::finished));
    const auto resend = world.send(1, id);
    world.run_all();
    CHECK(resend->verdict() == "ran");
    CHECK(resend->answered->head.status == 410);

    world.moods = {upstream_mood::truncated};
    it = world.send(0, world.mint(0));
    world.run_all();
    it->stream->pull(bytes);
    CHECK((it->stream->is_drained(end) && end == body_buffer::state::failed));

    world.answer_bytes = 1000000; // Above the buffer: only a caller that left lets it pass.
    id = world.mint(0);
    it = world.send(0, id);
    it->on_gone();
    world.run_all();
    CHECK(verdict_of(id) == "ran");
    it = world.send(1, world.mint(0)); // A relayed answer is held and arrives whole.
    world.run_all();
    CHECK(it->answered->body.size() == 1000000);
}

// Guards against a planned stop that cuts off an order of a caller that left.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, orders whose callers left, count as running until they end") {
    const auto it = world.send(0, world.mint(0));
    world.send(0, world.mint(1));
    it->on_gone();
    world.run_random_step();
    world.run_random_step();
    CHECK(world.nodes[0]->flow->running() == 1);
    CHECK(world.nodes[1]->flow->running() == 1);
    world.run_all();
    CHECK(world.nodes[0]->flow->running() + world.nodes[1]->flow->running() == 0);
}

// Guards against unbounded memory for answers on their way.
TEST_CASE(
    "order_flow, answers above the shared budget, verdict without the body and the budget is whole again") {
    order_world world{{.nodes = 1, .limits = {.recordable_bytes = 64, .total_held_bytes = 30}}};
    for (const std::size_t bytes : {40, 20, 20}) {
        world.answer_bytes = bytes;
        const auto it = world.send(0, world.mint(0));
        world.run_all();
        CHECK(it->verdict() == "ran");
        CHECK(it->answered->head.status == (bytes == 40 ? 410 : 200));
    }
}

// Guards against any order of steps and faults that leads to a second run or a false verdict; the world
// checks after each step.
TEST_CASE("order_flow, random faults and interleavings, each id runs at most once and verdicts are true") {
    for (std::uint64_t seed = 1; seed <= 4000; ++seed) {
        CAPTURE(seed);
        order_world world{
            {.seed = seed, .nodes = 2, .table = {.shards = 1, .max_entries = 3, .lifetime = millis{900}}}};
        world.is_random = true;
        std::vector<std::string> ids;
        for (int n = 0; n < 80 || world.has_steps(); ++n) {
            switch (n < 80 ? world.random.below(12) : 99) {
            case 0:
                ids.push_back(world.mint(world.random.below(2)));
                [[fallthrough]];
            case 1:
            case 2:
                if (!ids.empty()) {
                    world.send(world.random.below(2), ids[world.random.below(ids.size())], "x",
                               millis{static_cast<std::int64_t>(world.random.below(300))});
                }
                break;
            case 3:
                world.advance(millis{static_cast<std::int64_t>(world.random.below(150))});
                break;
            case 4:
                world.time.advance(millis{static_cast<std::int64_t>(world.random.below(150))});
                break;
            case 5:
                if (world.random.below(6) == 0) {
                    world.restart(1);
                }
                break;
            default:
                if (world.has_steps()) {
                    world.run_random_step();
                }
            }
        }
    }
}

} // namespace berylcrank::testing
