#include "modules/berylcrank_gateway/flow/gateway.h"
#include "platform/platform_adapter.h"

#include <absl/strings/match.h>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <fcntl.h>

namespace berylcrank {

namespace {

constexpr std::string_view caller_address = "10.0.0.9";

// A node whose service has no upstream, so that all requests wait.
struct account_access_fixture {
    boost::asio::io_context io;
    manual_clock time;
    json_wire_format wire;
    event_log log{open("/dev/null", O_WRONLY), "test", time};
    node_state node{io, time, wire, log, {.self = {.name = "n", .ip = "10.0.0.1"}}, 5};
    gateway subject{node};

    account_access_fixture() {
        node.receive_messages = [] {};
        time.advance(millis{60000});
        tick();
        for (int n = 0; n < 100; ++n) { // the queue is as long as completions make likely to be served
            subject.count_completion("s");
        }
        time.advance(millis{100});
        tick();
        apply(1, std::vector<client_account>{{.name = "alpha", .keys = {"a"}, .priority = 1},
                                             {.name = "beta", .keys = {"b"}}});
    }

    void apply(std::uint64_t version, account_table::account_list accounts, bool is_public = false) {
        deployment_config config{.version = version, .accounts = std::move(accounts)};
        config.routes.push_back({.name = "r",
                                 .host = "h",
                                 .path_prefix = "/",
                                 .kind = request_kind::safe,
                                 .priority = 4,
                                 .is_public = is_public,
                                 .parts = {{.service = "s"}}});
        REQUIRE(node.apply_config(std::move(config)));
    }

    exchange_ptr request(const std::string& key) {
        request_head head{.method = "GET", .target = "/x", .headers = {{"Host", "h"}}};
        if (!key.empty()) {
            head.headers.emplace_back("Authorization", "Bearer " + key);
        }
        auto it =
            std::make_shared<exchange>(nullptr, std::move(head), "", std::string(caller_address), time.now());
        subject.handle(it);
        return it;
    }

    void tick() {
        time.advance(millis{10});
        subject.tick(time.now());
    }

    // Makes the request a suspect for one caller.
    void crash_for(const std::string& caller) {
        const auto of_caller =
            fingerprints_of({.method = "GET", .host = "h", .target = "/x", .caller = caller}).of_caller;
        for (std::uint64_t run = 1; run <= 3; ++run) {
            const auto sent = time.now();
            time.advance(millis{2000});
            node.suspects.on_lost(
                of_caller,
                {.upstream = 1, .run = run, .sent_at = sent, .lost_at = time.now(), .closed = true},
                time.now());
            time.advance(millis{10});
        }
    }

    [[nodiscard]] int count(const std::string& event) const {
        const auto text = node.metrics.text();
        const auto at = text.find("\"" + event + "\"");
        return at == std::string::npos ? 0 : std::stoi(text.substr(text.find("} ", at) + 2));
    }
};

} // namespace

// Guards against accounts whose requests wait in the order of the route.
TEST_CASE_FIXTURE(account_access_fixture, "gateway, account with a priority, overrides that of the route") {
    request("b");
    request("a");
    const auto waiting = node.waiting.fronts("s");
    REQUIRE(waiting.size() == 2);
    CHECK(waiting[0].priority == 1);
    CHECK(waiting[1].priority == 4);
}

// Guards against queued requests that run although their key has been removed, and against queued requests
// that are refused although their key is still valid or their route has become public.
TEST_CASE_FIXTURE(account_access_fixture,
                  "gateway, new configuration, refuses queued requests without a valid key") {
    const auto removed = request("b");
    request("a");
    CHECK(request("c")->finished());
    CHECK(request("")->finished());
    CHECK(subject.active() == 2);
    apply(2, std::vector<client_account>{{.name = "gamma", .keys = {"a"}}});
    tick();
    CHECK(removed->finished());
    CHECK(subject.active() == 1);
    CHECK(node.waiting.size() == 1);
    apply(3, std::vector<client_account>{}, true);
    tick();
    CHECK(subject.active() == 1);
    apply(4, std::vector<client_account>{});
    tick();
    CHECK(subject.active() == 0);
    CHECK(node.waiting.size() == 0);
}

// Guards against queued requests that run without a key after a configuration has introduced accounts.
TEST_CASE_FIXTURE(account_access_fixture,
                  "gateway, accounts introduced, refuses queued requests without a key") {
    apply(2, std::nullopt);
    request("");
    request("a");
    CHECK(subject.active() == 2);
    apply(3, std::vector<client_account>{{.name = "alpha", .keys = {"a"}}});
    tick();
    CHECK(subject.active() == 1);
}

// Guards against accounts that evade the refusal of a request that crashes upstreams by changing their
// address, and against accounts that share an address and are refused for one another.
TEST_CASE_FIXTURE(account_access_fixture,
                  "gateway, request that crashes upstreams, is refused to its account") {
    crash_for("account/alpha");
    request("b");
    CHECK(subject.active() == 1);
    CHECK(count("suspect-refused") == 0);
    request("a");
    CHECK(subject.active() == 1);
    CHECK(count("suspect-refused") == 1);
}

// Guards against a change for deployments without accounts, whose callers are told apart by address.
TEST_CASE_FIXTURE(account_access_fixture,
                  "gateway, no accounts, refuses a request that crashes upstreams to its address") {
    apply(2, std::nullopt);
    crash_for(std::string(caller_address));
    request("a");
    CHECK(subject.active() == 0);
    CHECK(count("suspect-refused") == 1);
}

// Guards against refusals for good by a node that does not know the configuration yet.
TEST_CASE("gateway, no configuration, refuses no request as unauthorized") {
    account_access_fixture fixture;
    node_state empty{fixture.io, fixture.time, fixture.wire, fixture.log, {.self = {.name = "m"}}, 6};
    gateway subject(empty);
    request_head head{.method = "GET", .target = "/x", .headers = {{"Host", "h"}}};
    const auto it = std::make_shared<exchange>(nullptr, head, "", "", fixture.time.now());
    subject.handle(it);
    CHECK(it->finished());
    CHECK_FALSE(absl::StrContains(empty.metrics.text(), "unauthorized"));
}

} // namespace berylcrank
