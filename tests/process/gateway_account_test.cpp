#include "tests/support/platform_deployment.h"
#include "tests/support/raw_socket.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <csignal>
#include <doctest/doctest.h>

namespace berylcrank::testing {

namespace {

using header_fields = std::vector<http_header>;

const std::string alpha = R"({"name":"alpha","api-keys":["key-alpha-1","key-alpha-2"],"priority":0})";
const std::string beta = R"({"name":"beta","api-keys":["key-beta-1"],"rate-per-s":50,"burst":10})";

std::string tenants(const std::string& list) {
    return absl::StrCat(R"("tenants":[)", list, "],");
}

std::string extra_route(const std::string& name, const std::string& fields) {
    return absl::StrCat(R"({"name":")", name, R"(","path-prefix":"/)", name, R"(/",)", fields,
                        R"("max-attempts":2,"service":"lookups"},)");
}

const std::string routes = // one that needs no key, and one with time for queued requests
    extra_route("public", R"("kind":"safe","timeout-s":2,"public":true,)") +
    extra_route("slow", R"("kind":"safe","timeout-s":20,"target-latency-s":15,)");

http_header bearer(const std::string& key) {
    return {"Authorization", "Bearer " + key};
}

/** One node, one worker per service, and a configuration with two accounts. */
struct gateway_account_fixture {
    platform_deployment subject{1, 1, 1, "",
                                platform_deployment::config(1, routes, tenants(alpha + "," + beta))};
    const platform_node& node{subject.nodes().front()};

    [[nodiscard]] test_response get(const std::string& id, header_fields headers,
                                    const std::string& path = "/l/a",
                                    const std::string& method = "GET") const {
        headers.insert(headers.end(), {{"Host", "shop.example"}, {"Request-Id", id}});
        return send({.address = node.front, .method = method, .path = path, .headers = headers});
    }

    static std::string raw(const std::string& id, const std::string& key, const std::string& path = "/l/a",
                           const std::string& method = "GET") {
        return absl::StrCat(method, " ", path, " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ", id,
                            "\r\nAuthorization: Bearer ", key, "\r\nContent-Length: 0\r\n\r\n");
    }

    void apply(int version, const std::string& accounts) {
        subject.put_operator_record("config",
                                    platform_deployment::config(version, routes, tenants(accounts)));
        node.process->wait_line(absl::StrCat(R"("event":"config-applied","version":)", version));
    }

    [[nodiscard]] double level(const std::string& kind) const {
        return platform_deployment::level(node, kind);
    }

    [[nodiscard]] std::string metrics() const {
        return send({.address = node.control, .path = "/metrics"}).body;
    }
};

} // namespace

// Guards against requests that run for callers without an account, and against upstreams that learn a key or
// take a name that the caller has written for the name of its account.
TEST_CASE_FIXTURE(gateway_account_fixture,
                  "gateway, accounts, runs requests with a known key only and tells the account's name") {
    CHECK(get("known", {bearer("key-alpha-2"), {"Tenant-Id", "beta"}, {"tenant-id", "gamma"}}).status == 200);
    const auto known = subject.received_header("known");
    CHECK(absl::StrContains(known, "\nTenant-Id: alpha"));
    CHECK_FALSE(absl::StrContains(known, "beta"));
    CHECK_FALSE(absl::StrContains(known, "gamma"));
    CHECK_FALSE(absl::StrContains(absl::AsciiStrToLower(known), "authorization"));
    CHECK_FALSE(absl::StrContains(known, "key-"));

    CHECK(get("unsafe", {bearer("key-beta-1")}, "/o/a", "POST").status == 200);
    CHECK(absl::StrContains(subject.received_header("unsafe"), "\nTenant-Id: beta"));

    const auto missing = get("missing", {{"Tenant-Id", "alpha"}});
    CHECK(missing.status == 401);
    CHECK(missing.header("WWW-Authenticate") == "Bearer");
    CHECK(get("unknown", {bearer("key-gamma-1")}).status == 401);
    CHECK(get("unknown-order", {bearer("key-gamma-1")}, "/o/a", "POST").status == 401);
    for (const auto* id : {"missing", "unknown", "unknown-order"}) {
        CHECK(subject.received_header(id).empty());
        CHECK(subject.execution_count(id) == 0);
    }
}

// Guards against unusual credentials that pass for a key or end the node.
TEST_CASE_FIXTURE(gateway_account_fixture, "gateway, unusual credentials, responds 401") {
    const std::string key = "key-alpha-1";
    CHECK(get("lower", {{"authorization", "bearer " + key}}).status == 200);
    CHECK(get("upper", {{"AUTHORIZATION", "BEARER  " + key}}).status == 200);
    const std::vector<header_fields> refused{{{"Authorization", "Basic " + key}},
                                             {{"Authorization", key}},
                                             {{"Authorization", "Bearer"}},
                                             {{"Authorization", "Bearer  "}},
                                             {{"Authorization", "Bearer" + key}},
                                             {bearer(key + " " + key)},
                                             {bearer(key + "," + key)},
                                             {bearer(key), bearer(key)},
                                             {bearer(key), bearer("key-beta-1")},
                                             {bearer("\xc3\xa9" + key)},
                                             {bearer(key.substr(0, key.size() - 1))},
                                             {bearer(std::string(8192, 'k'))}};
    for (std::size_t n = 0; n < refused.size(); ++n) {
        CAPTURE(n);
        const auto id = absl::StrCat("odd-", n);
        CHECK(get(id, refused[n]).status == 401);
        CHECK(subject.execution_count(id) == 0);
    }
    auto connection = raw_connection::to(node.front); // an empty value, and the connection continues
    REQUIRE(connection.send(
        "GET /l/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: e\r\nAuthorization:\r\n\r\n"));
    CHECK(connection.read_message().starts_with("HTTP/1.1 401"));
    REQUIRE(connection.send(raw("after", key)));
    CHECK(connection.read_message().starts_with("HTTP/1.1 200"));
}

// Guards against routes that are disclosed to callers without a key, and against keys and invented names of
// accounts that reach upstreams by a route that needs no key.
TEST_CASE_FIXTURE(gateway_account_fixture,
                  "gateway, public and absent routes, serves the former and discloses the latter to no "
                  "unknown caller") {
    CHECK(get("open", {{"Tenant-Id", "alpha"}}, "/public/a").status == 200);
    CHECK_FALSE(absl::StrContains(subject.received_header("open"), "Tenant-Id"));
    CHECK(get("open-key", {bearer("key-gamma-1"), {"Tenant-Id", "alpha"}}, "/public/a").status == 200);
    const auto received = subject.received_header("open-key");
    CHECK_FALSE(received.empty());
    CHECK_FALSE(absl::StrContains(received, "Tenant-Id"));
    CHECK_FALSE(absl::StrContains(received, "Authorization"));
    CHECK(get("open-known", {bearer("key-alpha-1")}, "/public/a").status == 200);
    CHECK(absl::StrContains(subject.received_header("open-known"), "\nTenant-Id: alpha"));
    CHECK_FALSE(absl::StrContains(subject.received_header("open-known"), "key-"));

    CHECK(get("absent", {bearer("key-alpha-1")}, "/absent").status == 404);
    CHECK(get("absent-missing", {}, "/absent").status == 401);
    CHECK(get("absent-unknown", {bearer("key-gamma-1")}, "/absent").status == 401);
}

// Guards against a key that stays valid on open connections after the operator has removed it.
TEST_CASE_FIXTURE(gateway_account_fixture,
                  "gateway, key removed, refuses it on open connections and behind pipelined requests") {
    auto connection = raw_connection::to(node.front);
    REQUIRE(connection.send(raw("before", "key-beta-1")));
    CHECK(connection.read_message().starts_with("HTTP/1.1 200"));
    platform_deployment::configure_worker(*subject.workers_of("lookups").front(), "work=1500");
    REQUIRE(connection.send(raw("running", "key-beta-1")));
    wait_until("the request runs", [&] { return subject.execution_count("running") == 1; });
    apply(2, alpha);
    REQUIRE(connection.send(raw("behind", "key-beta-1") + raw("behind-order", "key-beta-1", "/o/a", "POST") +
                            raw("other", "key-alpha-1")));
    CHECK(connection.read_message().starts_with("HTTP/1.1 200")); // ran before the key was removed
    CHECK(connection.read_message().starts_with("HTTP/1.1 401"));
    CHECK(connection.read_message().starts_with("HTTP/1.1 401"));
    CHECK(connection.read_message().starts_with("HTTP/1.1 200"));
    CHECK(subject.execution_count("behind") == 0);
    CHECK(subject.execution_count("behind-order") == 0);

    apply(3, absl::StrReplaceAll(alpha + "," + beta, {{"key-beta-1", "key-beta-2"}}));
    CHECK(get("added", {bearer("key-beta-2")}).status == 200);
    CHECK(absl::StrContains(subject.received_header("added"), "\nTenant-Id: beta"));
}

// Guards against queued requests that run although their key has been removed while they waited.
TEST_CASE_FIXTURE(gateway_account_fixture, "gateway, key removed, refuses the queued requests of that key") {
    auto* worker = subject.workers_of("lookups").front();
    platform_deployment::configure_worker(*worker, "work=8000");
    std::vector<raw_connection> others;
    while (level("waiting_requests") < 1) { // until the worker has no free slot
        const auto n = others.size();
        REQUIRE(n < 8);
        others.push_back(raw_connection::to(node.front));
        REQUIRE(others.back().send(raw(absl::StrCat("other-", n), "key-alpha-1", "/slow/a")));
        wait_until("the request has arrived", [&] { return level("flows") == static_cast<double>(n + 1); });
    }
    auto connection = raw_connection::to(node.front);
    REQUIRE(connection.send(raw("queued", "key-beta-1", "/slow/a")));
    // Nothing completes, so the queue has room for one request, and the newest takes the place of the last.
    CHECK(others.back().read_message().starts_with("HTTP/1.1 503"));
    CHECK(level("waiting_requests") == 1);
    apply(2, alpha);
    CHECK(connection.read_message().starts_with("HTTP/1.1 401"));
    CHECK(subject.execution_count("queued") == 0);
    CHECK(level("waiting_requests") == 0);
    REQUIRE(connection.send(raw("kept", "key-alpha-2", "/slow/a")));
    wait_until("the request is queued", [&] { return level("waiting_requests") == 1; });
    apply(3, alpha);
    CHECK(get("removed", {bearer("key-beta-1")}).status == 401);
    CHECK(level("waiting_requests") == 1); // its key is still valid
}

// Guards against requests that are sent again although their key has been removed while they were at the
// first upstream, which refused them.
TEST_CASE_FIXTURE(gateway_account_fixture, "gateway, key removed, does not send a refused request again") {
    auto& first = *subject.workers_of("lookups").front();
    platform_deployment::configure_worker(first, "mode=shed-late&work=1000");
    auto connection = raw_connection::to(node.front);
    REQUIRE(connection.send(raw("removed", "key-beta-1", "/slow/a")));
    wait_until("the request runs", [&] { return subject.execution_count("removed") == 1; });
    subject.start_worker("lookups", 1); // takes what the first refuses
    node.process->wait_line(R"("upstream":"i-lookups1")");
    apply(2, alpha);
    CHECK(connection.read_message().starts_with("HTTP/1.1 401"));
    CHECK(subject.execution_count("removed") == 1);
}

// Guards against keys in the log and the metrics, which more people read than may use the accounts.
TEST_CASE_FIXTURE(gateway_account_fixture, "gateway, requests and configurations with keys, logs no key") {
    CHECK(get("a", {bearer("key-alpha-1")}).status == 200);
    CHECK(get("b", {bearer("key-gamma-1")}).status == 401);
    CHECK(get("c", {bearer("key-alpha-1")}, "/absent").status == 404);
    CHECK(get("d", {{"Authorization", "Basic key-alpha-1"}}).status == 401);
    // An invalid configuration leaves the former one in force, with its keys.
    subject.put_operator_record(
        "config", platform_deployment::config(
                      2, routes, tenants(alpha + R"(,{"name":"gamma","api-keys":["key-alpha-1"]})")));
    node.process->wait_line("\"event\":\"config-unreadable\"");
    CHECK(get("e", {bearer("key-beta-1")}).status == 200);
    apply(3, alpha);
    CHECK(get("f", {bearer("key-beta-1")}).status == 401);
    const auto text = metrics();
    CHECK(absl::StrContains(text, "result=\"unauthorized\""));
    CHECK_FALSE(absl::StrContains(text, "key-"));
    node.process->send(SIGTERM);
    CHECK(node.process->wait_exit() == 0);
    const auto& log = node.process->output();
    CHECK(absl::StrContains(log, "\"event\":\"unauthorized\""));
    for (const auto* it : {"key-alpha", "key-beta", "key-gamma"}) {
        CHECK_FALSE(absl::StrContains(log, it));
    }
}

// Guards against refusals for good by a node that does not know the configuration yet.
TEST_CASE("gateway, no configuration yet, responds 503 whatever the key and the path") {
    platform_deployment subject(0, 1);
    subject.put_operator_record("config", "");
    const auto& node = subject.start_node();
    const auto status = [&](const std::string& path, const header_fields& headers) {
        return send({.address = node.front, .path = path, .headers = headers}).status;
    };
    wait_until("the node accepts connections", [&] { return status("/l/a", {}) != 0; });
    for (const auto* path : {"/l/a", "/public/a", "/absent"}) {
        CHECK(status(path, {{"Host", "shop.example"}}) == 503);
        CHECK(status(path, {{"Host", "shop.example"}, bearer("key-alpha-1")}) == 503);
    }
}

// Guards against a change for deployments that use the same headers between their callers and upstreams.
TEST_CASE("gateway, configuration without accounts, forwards credentials and account names unchanged") {
    platform_deployment subject(1, 1);
    const auto& node = subject.nodes().front();
    const auto response = send({.address = node.front,
                                .path = "/l/a",
                                .headers = {{"Host", "shop.example"},
                                            {"Request-Id", "plain"},
                                            {"Authorization", "Basic abc"},
                                            {"Tenant-Id", "mine"}}});
    CHECK(response.status == 200);
    const auto received = subject.received_header("plain");
    CHECK(absl::StrContains(received, "\nAuthorization: Basic abc\n"));
    CHECK(absl::StrContains(received, "\nTenant-Id: mine\n"));
    // A configuration with accounts takes effect without a restart.
    subject.put_operator_record("config", platform_deployment::config(2, routes, tenants(alpha)));
    node.process->wait_line(R"("event":"config-applied","version":2)");
    CHECK(platform_deployment::request(node, "GET", "/l/a", "late").status == 401);
}

} // namespace berylcrank::testing
