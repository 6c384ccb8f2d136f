#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_node/control/config_follower.h"
#include "modules/berylcrank_platform/berylcrank_platform.h"
#include "tests/config/state_fixture.h"
#include "tests/support/child.h"

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <optional>
#include <thread>

namespace berylcrank {

using namespace testing;

namespace {

constexpr auto ok = std::nullopt;

/** Returns the kind of error that a call fails with, or nothing if it succeeds. */
std::optional<log_error::kind> error_of(const auto& call) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<log_error::kind>> {
            BOOST_LEAF_CHECK(call());
            return std::optional<log_error::kind>{};
        },
        [](const log_error& error) { return std::optional(error.what); },
        [] { return std::optional(log_error::kind::malformed); });
}

struct log_fixture {
    child process{{program_path("standin_log"), "--port", "0"}};
    std::string address = process.wait_listening()["http"];
    http_log_service subject{
        {.address = address, .response_timeout = millis{300}, .append_timeout = millis{300}}};

    void control(const std::string& command) const {
        http_transfer transfer;
        const auto result = transfer.post("http://" + address + "/control", command, millis{5000});
        REQUIRE(result.status == 200);
    }

    std::optional<log_error::kind> append(std::string_view data) {
        return error_of([&] { return subject.append(data); });
    }

    std::optional<log_error::kind> read(std::uint64_t from) {
        return error_of([&] { return subject.read(from, 10, millis{0}); });
    }

    log_page page(std::uint64_t from, millis wait = millis{0}) {
        return boost::leaf::try_handle_all([&] { return subject.read(from, 10, wait); },
                                           [] { return log_page{.next_offset = 999}; });
    }
};

class no_peers final : public peer_state_source {
public:
    std::optional<std::string> pull_delta(std::uint64_t, millis) override { return std::nullopt; }
};

bool eventually(const std::function<bool()>& happened) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!happened()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace

// Guards against an encoding that changes records, which are opaque bytes.
TEST_CASE_FIXTURE(log_fixture, "http_log_service, arbitrary bytes, are read back with their offsets") {
    const std::string bytes("\0\xff\n\"{", 5);
    CHECK(append("a") == ok);
    CHECK(append(bytes) == ok);
    const auto first_page = page(0);
    CHECK(first_page.first_offset == 0);
    CHECK(first_page.next_offset == 2);
    REQUIRE(first_page.records.size() == 2);
    CHECK(first_page.records[1].offset == 1);
    CHECK(first_page.records[1].data == bytes);
    control(R"({"trim":1})");
    CHECK(page(0).first_offset == 1);
    CHECK(page(0).records.size() == 1);
}

// Guards against confusing errors: a log that does not respond may mean that this node is isolated.
TEST_CASE_FIXTURE(log_fixture, "http_log_service, faults of the log, are reported as different errors") {
    using kind = log_error::kind;
    control(R"({"outage":"refuse"})");
    CHECK(append("a") == kind::refused);
    CHECK(read(0) == kind::refused);
    control(R"({"outage":"silent"})");
    CHECK(append("a") == kind::no_response);
    CHECK(read(0) == kind::no_response);
    control(R"({"outage":"none","lose_answers":1})");
    CHECK(append("lost") == kind::refused);
    CHECK(page(0).next_offset == 1);
    control(R"({"record_bytes":3})");
    CHECK(append("1234") == kind::too_large);
    control(R"({"appends_per_second":0})");
    CHECK(append("a") == kind::throttled);
    control(R"({"slow_ms":600})");
    CHECK(read(0) == kind::no_response);
    control(R"({"slow_ms":0})");
    CHECK(read(0) == ok);
    process.send(SIGKILL);
    process.wait_exit();
    CHECK(read(0) == kind::refused);
}

// Guards against a stop that waits for the end of a long poll.
TEST_CASE_FIXTURE(log_fixture, "http_log_service, cancelled in a long poll, returns immediately") {
    const auto start = std::chrono::steady_clock::now();
    std::thread reader([&] { page(0, millis{20000}); });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    subject.cancel();
    reader.join();
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(10));
}

// Guards against treating vms as removed because the list is unreadable or unavailable.
TEST_CASE("http_vm_list, lag, outage and unreadable entries, never return a wrong list") {
    child process({program_path("standin_vm_list"), "--port", "0"});
    const auto address = process.wait_listening()["http"];
    http_vm_list subject({.address = address, .response_timeout = millis{300}});
    http_transfer transfer;
    const auto control = [&](const std::string& command) {
        REQUIRE(transfer.post("http://" + address + "/control", command, millis{5000}).status == 200);
    };
    const auto size = [&] {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<int> {
                BOOST_LEAF_AUTO(list, subject.fetch());
                return static_cast<int>(list.size());
            },
            [](const std::string& message) {
                CHECK_FALSE(message.empty());
                return -1;
            },
            [] { return -2; });
    };
    const std::string vm =
        R"({"vm":"e1","failure_domain":"f","region":"r","http_address":"127.0.0.1:1","rpc_address":"127.0.0.1:2")";
    CHECK(size() == 0);
    control(R"({"vms":[)" + vm + R"(},)" + vm + R"(,"leaving":true}]})");
    CHECK(size() == 2);
    control(R"({"lag_ms":200,"vms":[]})");
    CHECK(size() == 2);
    CHECK(eventually([&] { return size() == 0; }));
    control(R"({"lag_ms":0,"vms":[)" + vm + R"(},{"vm":"e2"}]})");
    CHECK(size() == -1);
    control(R"({"outage":"refuse"})");
    CHECK(size() == -1);
    control(R"({"outage":"silent"})");
    CHECK(size() == -1);
}

// Guards against losing or reverting the configuration when an outage outlasts the log's retention.
TEST_CASE_FIXTURE(log_fixture,
                  "config_follower, outage longer than retention, keeps its state and a new node starts") {
    steady_clock time;
    no_peers peers;
    const auto options = [](std::uint64_t seed) {
        return config_follower::options{
            .poll = millis{50}, .retention = millis{1500}, .gap_wait = millis{60000}, .seed = seed};
    };
    control(R"({"retention_ms":1500})");
    config_follower old(options(1), subject, peers, time);
    old.start();
    REQUIRE(append(encode_ticket_record(base_ticket(1))) == ok);
    REQUIRE(append(encode_ticket_record(upstream_ticket(2, "u0"))) == ok);
    REQUIRE(eventually([&] { return old.is_ready() && old.view()->find_upstream("u0") != nullptr; }));
    control(R"({"outage":"refuse"})");
    REQUIRE(eventually([&] { return old.log_status().last_refusal.has_value(); }));
    std::this_thread::sleep_for(std::chrono::milliseconds(1600)); // Longer than the log's retention.
    CHECK(old.view()->find_upstream("u0") != nullptr);
    control(R"({"outage":"none"})");
    const auto written = old.snapshots_written();
    REQUIRE(eventually([&] { return old.snapshots_written() > written; }));
    http_log_service other_log({.address = address});
    config_follower fresh(options(2), other_log, peers, time);
    fresh.start();
    REQUIRE(eventually([&] { return fresh.is_ready(); }));
    CHECK(fresh.view()->find_upstream("u0") != nullptr);
    CHECK(fresh.view()->digest() == old.view()->digest());
    fresh.stop();
    old.stop();
}

// Guards against an old snapshot, appended by a node after a long freeze, that replaces newer state.
TEST_CASE_FIXTURE(log_fixture, "config_follower, old snapshot appended again, changes nothing") {
    steady_clock time;
    no_peers peers;
    config_follower follower({.poll = millis{50}}, subject, peers, time);
    follower.start();
    config_state frozen;
    frozen.apply(0, encode_ticket_record(base_ticket(1)));
    frozen.apply(1, encode_ticket_record(upstream_ticket(2, "u0", "s0", 1)));
    REQUIRE(append(encode_ticket_record(base_ticket(1))) == ok);
    REQUIRE(append(encode_ticket_record(upstream_ticket(2, "u0", "s0", 1))) == ok);
    REQUIRE(append(encode_ticket_record(upstream_ticket(3, "u0", "s0", 9))) == ok);
    REQUIRE(append(encode_ticket_record(removal_ticket(4, object_kind::service, "s1"))) == ok);
    for (const auto& part : split_snapshot(encode_content(frozen.content()), frozen.applied(), 77)) {
        REQUIRE(append(part) == ok);
    }
    REQUIRE(append(encode_ticket_record(upstream_ticket(5, "u1"))) == ok);
    REQUIRE(eventually([&] { return follower.view()->find_upstream("u1") != nullptr; }));
    CHECK(follower.view()->find_upstream("u0")->slots == 9);
    CHECK(follower.view()->find_service("s1") == nullptr);
    follower.stop();
}

} // namespace berylcrank
