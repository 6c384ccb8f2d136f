#include "tests/node/order_simulation.h"

#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

struct order_flow_fixture {
    order_simulation simulation{{.nodes = 3}};

    std::string verdict_of(const std::string& id, std::size_t node = 0) {
        const auto it = simulation.send(node, id);
        simulation.run_all();
        return it->verdict();
    }
};

} // namespace

// Guards against two executions when a caller sends one order to all nodes at the same time.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, one id sent to all nodes at once, runs once and all get its response") {
    const auto id = simulation.mint(1);
    std::vector<std::shared_ptr<fake_exchange>> copies;
    for (std::size_t n = 0; n < 3; ++n) {
        copies.push_back(simulation.send(n, id));
    }
    simulation.run_all();
    for (const auto& it : copies) {
        CHECK(it->verdict() == "ran");
        CHECK(it->response->body == "bb");
        CHECK(find_header(it->response->head.headers, "X-Answer") == "1");
        CHECK_FALSE(find_header(it->response->head.headers, "Berylcrank-Load").has_value());
    }
    CHECK(simulation.executions[id] == 1);
}

// Guards against a retry that changes the outcome, for each way in which an attempt can end.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, retried after each outcome, gets the same verdict and never runs again") {
    const std::vector<std::pair<std::vector<upstream_behavior>, std::string>> cases{
        {{upstream_behavior::good}, "ran"},
        {{upstream_behavior::shed, upstream_behavior::good}, "ran"},
        {{upstream_behavior::unreachable, upstream_behavior::unreachable}, "not-run"},
        {{upstream_behavior::denied, upstream_behavior::good}, "ran"},
        // The check before the first byte may deny eight attempts; the ninth counts as an attempt.
        {{upstream_behavior::unreachable, upstream_behavior::denied, upstream_behavior::denied,
          upstream_behavior::denied, upstream_behavior::denied, upstream_behavior::denied,
          upstream_behavior::denied, upstream_behavior::denied, upstream_behavior::denied,
          upstream_behavior::denied},
         "not-run"},
        {{upstream_behavior::shed, upstream_behavior::shed}, "not-run"},
        {{upstream_behavior::reset_after}, "may-have-run"},
        {{upstream_behavior::reset_before}, "may-have-run"},
        {{upstream_behavior::truncated}, "may-have-run"},
        {{upstream_behavior::sent_twice}, "may-have-run"},
        {{upstream_behavior::misreported}, "may-have-run"}};
    for (const auto& [behaviors, expected] : cases) {
        CAPTURE(expected);
        simulation.behaviors.assign(behaviors.begin(), behaviors.end());
        const auto id = simulation.mint(0);
        CHECK(verdict_of(id) == expected);
        CHECK(verdict_of(id, 1) == expected);
        CHECK(simulation.behaviors.empty());
    }
}

// Guards against running an order without a valid id, and against "not run" for a genuine id that is
// repeated in one request. The fake exchange checks that every response carries verdict and id prefix.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, no single valid id, refused, not run unless a genuine id is among them") {
    const auto id = simulation.mint(0);
    const std::string forged = "00000000000000a0-0-7-1234.1";
    const auto key = [](const std::string& it) { return http_header{"Idempotency-Key", it}; };
    const std::vector<std::pair<std::vector<http_header>, std::string>> cases{
        {{}, "not-run"},
        {{key("x")}, "not-run"},
        {{key(id + " ")}, "not-run"},
        {{key(forged)}, "not-run"},
        {{key("x"), key(forged)}, "not-run"},
        {{key(id), {"idempotency-key", id}}, "may-have-run"},
        {{key("x"), key(simulation.mint(1))}, "may-have-run"}};
    for (const auto& [headers, expected] : cases) {
        const auto it =
            std::make_shared<fake_exchange>(simulation, http_request{.method = "POST", .headers = headers});
        simulation.nodes[0]->flow->handle(it, {.service = "pedidos", .path = "/", .timeout = millis{100}});
        REQUIRE(it->response.has_value());
        CHECK(it->response->head.status == 400);
        CHECK(it->verdict() == expected);
    }
    CHECK(simulation.nodes[0]->flow->count().invalid == cases.size());
    CHECK_FALSE(simulation.has_steps());
}

// Guards against retries that an overloaded upstream forbids, at this node and at the caller, and against a
// further attempt with a client that is shutting down.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, shed without retry or cancelled, refused immediately with retries forbidden") {
    for (const auto behavior : {upstream_behavior::shed_no_retry, upstream_behavior::cancelled}) {
        simulation.behaviors = {behavior, upstream_behavior::good};
        const auto it = simulation.send(0, simulation.mint(0));
        simulation.run_all();
        CHECK(it->verdict() == "not-run");
        CHECK(find_header(it->response->head.headers, "Berylcrank-Retry") == "no");
        CHECK(simulation.behaviors.size() == 1);
    }
}

// Guards against "not run" from a node that is not the home node.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, home node unknown, stopped or not responding, may have run") {
    const auto id = simulation.mint(2);
    CHECK(verdict_of("00000000000000ff-0-1-1.1") == "may-have-run");
    for (const auto behavior : {relay_behavior::lost, relay_behavior::response_lost}) {
        simulation.relay_behaviors = {behavior};
        CHECK(verdict_of(id) == "may-have-run");
    }
    simulation.restart(2);
    CHECK(verdict_of(id) == "may-have-run");
    CHECK(verdict_of(id, 2) == "may-have-run");
    CHECK(simulation.executions[id] == 1);
    order_response relayed;
    simulation.nodes[0]->flow->handle_relayed({.id = id},
                                              [&](order_response it) { relayed = std::move(it); });
    CHECK(relayed.verdict == run_verdict::may_have_run);
}

// Guards against an order that is sent after a pause although its deadline has passed.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, paused past the deadline between routing and sending, not run") {
    const auto id = simulation.mint(0);
    const auto it = simulation.send(0, id);
    simulation.run_random_step(); // Routes the order; the attempt is about to connect.
    simulation.time.advance(millis{1000});
    simulation.run_all();
    CHECK(it->verdict() == "not-run");
    CHECK(verdict_of(id) == "not-run");
    CHECK(simulation.executions[id] == 0);
}

// Guards against "not run" at the deadline of an order that was already sent.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, deadline passes while the order runs, may have run, then recorded") {
    const auto id = simulation.mint(0);
    const auto it = simulation.send(0, id);
    simulation.run_random_step();
    simulation.run_random_step(); // Sends the order.
    simulation.advance(millis{1000});
    CHECK(it->verdict() == "may-have-run");
    CHECK(verdict_of(id) == "ran");
}

// Guards against a refused copy that runs later, and against a table that loses entries.
TEST_CASE("order_flow, table full, id refused forever, a fresh prefix is accepted once there is room") {
    order_simulation simulation{
        {.nodes = 1, .table = {.shards = 1, .max_entries = 1, .lifetime = millis{2000}}}};
    const auto first = simulation.mint(0);
    simulation.send(0, first);
    simulation.run_all();
    simulation.advance(millis{1500});
    const auto refused = simulation.send(0, simulation.mint(0));
    CHECK(refused->verdict() == "not-run");
    const std::string prefix{*find_header(refused->response->head.headers, "Berylcrank-Id-Prefix")};
    simulation.advance(millis{1500});
    const auto id = refused->request().headers[0].value;
    CHECK(simulation.send(0, id)->verdict() == "not-run");
    const auto accepted = simulation.send(0, prefix + ".1");
    simulation.run_all();
    CHECK(accepted->verdict() == "ran");
    const auto expired = simulation.send(0, first);
    CHECK(expired->verdict() == "may-have-run");
    CHECK(expired->response->head.status == 410);
    CHECK(simulation.send(0, prefix + ".1", "other content")->response->head.status == 422);
}

// Guards against an order that stops when its caller disconnects, and against a truncated response that
// appears complete.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, response above the recordable size, streamed completely or failed") {
    simulation.response_bytes = 1000;
    std::string bytes(2000, ' ');
    body_buffer::state end{};
    auto id = simulation.mint(0);
    auto it = simulation.send(0, id);
    simulation.run_all();
    REQUIRE(it->stream != nullptr);
    CHECK(it->stream->pull(bytes) == 1000);
    CHECK((it->stream->is_drained(end) && end == body_buffer::state::finished));
    const auto retry = simulation.send(1, id);
    simulation.run_all();
    CHECK(retry->verdict() == "ran");
    CHECK(retry->response->head.status == 410);

    simulation.behaviors = {upstream_behavior::truncated};
    it = simulation.send(0, simulation.mint(0));
    simulation.run_all();
    it->stream->pull(bytes);
    CHECK((it->stream->is_drained(end) && end == body_buffer::state::failed));

    simulation.response_bytes = 1000000; // Larger than the buffer; passes only if the caller disconnected.
    id = simulation.mint(0);
    it = simulation.send(0, id);
    it->on_disconnect();
    simulation.run_all();
    CHECK(verdict_of(id) == "ran");
    it = simulation.send(1, simulation.mint(0)); // A relayed response is buffered and arrives complete.
    simulation.run_all();
    CHECK(it->response->body.size() == 1000000);
}

// Guards against a planned stop that cuts off an order whose caller has disconnected.
TEST_CASE_FIXTURE(order_flow_fixture,
                  "order_flow, orders whose callers disconnected, count as running until they end") {
    const auto it = simulation.send(0, simulation.mint(0));
    simulation.send(0, simulation.mint(1));
    it->on_disconnect();
    simulation.run_random_step();
    simulation.run_random_step();
    CHECK(simulation.nodes[0]->flow->running() == 1);
    CHECK(simulation.nodes[1]->flow->running() == 1);
    simulation.run_all();
    CHECK(simulation.nodes[0]->flow->running() + simulation.nodes[1]->flow->running() == 0);
}

// Guards against unbounded memory for buffered responses.
TEST_CASE(
    "order_flow, responses above the shared budget, verdict without the body and the budget is restored") {
    order_simulation simulation{
        {.nodes = 1, .limits = {.recordable_bytes = 64, .max_total_buffered_bytes = 30}}};
    for (const std::size_t bytes : {40, 20, 20}) {
        simulation.response_bytes = bytes;
        const auto it = simulation.send(0, simulation.mint(0));
        simulation.run_all();
        CHECK(it->verdict() == "ran");
        CHECK(it->response->head.status == (bytes == 40 ? 410 : 200));
    }
}

// Guards against interleavings and faults that lead to a second execution or a false verdict. The
// simulation checks after each step.
TEST_CASE("order_flow, random faults and interleavings, each id runs at most once and verdicts are correct") {
    for (std::uint64_t seed = 1; seed <= 4000; ++seed) {
        CAPTURE(seed);
        order_simulation simulation{
            {.seed = seed, .nodes = 2, .table = {.shards = 1, .max_entries = 3, .lifetime = millis{900}}}};
        simulation.is_random = true;
        std::vector<std::string> ids;
        for (int n = 0; n < 80 || simulation.has_steps(); ++n) {
            switch (n < 80 ? simulation.random.below(12) : 99) {
            case 0:
                ids.push_back(simulation.mint(simulation.random.below(2)));
                [[fallthrough]];
            case 1:
            case 2:
                if (!ids.empty()) {
                    simulation.send(simulation.random.below(2), ids[simulation.random.below(ids.size())], "x",
                                    millis{static_cast<std::int64_t>(simulation.random.below(300))});
                }
                break;
            case 3:
                simulation.advance(millis{static_cast<std::int64_t>(simulation.random.below(150))});
                break;
            case 4:
                simulation.time.advance(millis{static_cast<std::int64_t>(simulation.random.below(150))});
                break;
            case 5:
                if (simulation.random.below(6) == 0) {
                    simulation.restart(1);
                }
                break;
            default:
                if (simulation.has_steps()) {
                    simulation.run_random_step();
                }
            }
        }
    }
}

} // namespace berylcrank::testing
