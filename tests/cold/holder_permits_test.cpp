#include "modules/berylcrank_node/control/holder_permits.h"

#include "modules/berylcrank_config/state/record_codec.h"

#include <doctest/doctest.h>
#include <future>

namespace berylcrank {

namespace {

constexpr incarnation self{1};
constexpr incarnation holder{2};
const std::string upstream = "pedidos-1";

/** A log that assigns all groups to `holder`. */
class assigned_log final : public log_service {
public:
    boost::leaf::result<std::uint64_t> append(std::string_view) override { return std::uint64_t{1}; }
    boost::leaf::result<log_page> read(std::uint64_t from, std::uint32_t, millis) override {
        std::vector<holder_assignment> all;
        for (std::uint32_t i = 0; i < group_count; ++i) {
            all.push_back({.group = i, .holder = holder});
        }
        log_page page{.next_offset = 1};
        if (from == 0) {
            page.records.push_back({0, encode_assignments(all)});
        }
        return page;
    }
};

class no_peers final : public peer_state_source {
public:
    std::optional<std::string> pull_delta(std::uint64_t, millis) override { return std::nullopt; }
};

/** Stores permit requests until the test responds to them, and records releases. */
class fake_client final : public peer_client {
public:
    struct permit_request {
        request_class priority;
        response_callback<permit_response> done;
    };
    void gossip(const std::string&, gossip_message, millis, response_callback<gossip_message>) override {}
    void pull_state(const std::string&, std::uint64_t, millis, response_callback<std::string>) override {}
    void relay_order(const std::string&, order_request, millis, response_callback<order_response>) override {}
    void acquire_permit(const std::string&, incarnation, std::string, request_class cls, millis,
                        response_callback<permit_response> done) override {
        requests.push_back({cls, std::move(done)});
    }
    void release_permit(const std::string&, permit_release release, millis,
                        response_callback<bool> done) override {
        released.push_back(release.permit);
        done(is_release_lost ? peer_failure::no_response : peer_failure::none, true);
    }
    void report_crash(const std::string&, std::vector<crash_report>, millis,
                      response_callback<bool>) override {}

    void respond(const permit_response& response, peer_failure failure = peer_failure::none) {
        REQUIRE(!requests.empty());
        auto done = std::move(requests.back().done);
        requests.pop_back();
        done(failure, response);
    }

    std::vector<permit_request> requests;
    std::vector<std::uint64_t> released;
    bool is_release_lost{false};
};

struct permits_fixture {
    manual_clock time;
    std::promise<void> assigned;
    assigned_log log;
    no_peers state_source;
    config_follower config{
        {}, log, state_source, time, [this, is_first = true](const config_view_ptr& view) mutable {
            if (is_first && view->holder_of(0).holder == holder) {
                is_first = false;
                assigned.set_value();
            }
        }};
    peer_view peers{{.self = {.vm = "a", .run = self}}};
    permit_issuer issuer{{.self = self}};
    fake_client client;
    holder_permits subject{{time, self, config, peers, issuer, client}, {.max_waiting = 4}};
    std::vector<std::string> outcomes; // In the order of the callbacks; "+" with a permit, "-" without.

    permits_fixture() {
        config.start();
        REQUIRE(assigned.get_future().wait_for(std::chrono::seconds(10)) == std::future_status::ready);
        config.stop();
        peers.on_message({.sender = {.vm = "b", .run = holder, .rpc_address = "b:1"}}, time.now());
    }
    void acquire(const std::string& name, request_class cls, int deadline_ms) {
        subject.acquire(upstream, cls, time.now() + millis{deadline_ms},
                        [this, name](const std::optional<cold_permit>& permit) {
                            outcomes.push_back(name + (permit ? "+" : "-"));
                        });
    }
};

} // namespace

// Guards against one permit request for each waiting request, which would overload the holder of a cold pool.
TEST_CASE_FIXTURE(
    permits_fixture,
    "holder_permits, several waiting requests, sends one permit request and serves the highest class") {
    acquire("download", request_class::download, 1000);
    acquire("lookup", request_class::lookup, 1000);
    acquire("order", request_class::order, 1000);
    CHECK(client.requests.size() == 1);
    client.respond({.granted = true, .permit = 1, .expires_after = millis{2000}});
    CHECK(outcomes == std::vector<std::string>{"order+"});
    REQUIRE(client.requests.size() == 1);
    CHECK(client.requests[0].priority == request_class::lookup);
    client.respond({.retry_after = millis{20}});
    subject.tick();
    CHECK(client.requests.empty());
    time.advance(millis{20});
    subject.tick();
    CHECK(client.requests.size() == 1);
    client.respond({}, peer_failure::no_response); // Lost: requested again later.
    time.advance(millis{20});
    subject.tick();
    client.respond({.granted = true, .permit = 2, .expires_after = millis{2000}});
    CHECK(outcomes.back() == "lookup+");
}

TEST_CASE_FIXTURE(permits_fixture,
                  "holder_permits, wait beyond the deadline or full queue, ends without a permit") {
    acquire("soon", request_class::order, 100);
    acquire("late", request_class::lookup, 8000);
    client.respond({.retry_after = millis{5000}}); // A new holder that does not issue yet.
    CHECK(outcomes == std::vector<std::string>{"soon-"});
    for (int i = 0; i < 4; ++i) {
        acquire("more", request_class::lookup, 8000);
    }
    CHECK(outcomes == std::vector<std::string>{"soon-", "more-"});
    time.advance(millis{8000});
    subject.tick();
    CHECK(outcomes.size() == 6);
    CHECK(subject.waiting() == 0);
}

// Guards against permits that stay outstanding because no request uses them or their release is lost.
TEST_CASE_FIXTURE(permits_fixture,
                  "holder_permits, unused permit, is released with a limited number of retries") {
    acquire("gone", request_class::order, 50);
    time.advance(millis{60});
    subject.tick();
    CHECK(outcomes == std::vector<std::string>{"gone-"});
    client.is_release_lost = true;
    client.respond({.granted = true, .permit = 7, .expires_after = millis{2000}});
    CHECK(client.released == std::vector<std::uint64_t>{7, 7, 7});
}

} // namespace berylcrank
