#include "tests/support/platform_deployment.h"
#include "tests/support/raw_socket.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <thread>

namespace berylcrank::testing {

namespace {

struct gateway_trouble_fixture {
    platform_deployment subject{2, 2};
    int ids{0};

    [[nodiscard]] const platform_node& node(std::size_t n = 0) { return subject.nodes()[n]; }

    test_response lookup(std::size_t n = 0) {
        return subject.request(node(n), "GET", "/l/a", "t-" + std::to_string(++ids));
    }

    // Upstream that served a lookup, or an empty string if it failed.
    std::string served_by(std::size_t n) {
        const auto response = lookup(n);
        return response.status == 200 ? response.header("Server-Signature") : "";
    }

    static int received_in_pause(const platform_worker& it) {
        return std::stoi(send({.address = it.address, .path = "/received-in-pause"}).body);
    }

    // Resident memory of a process in KiB.
    static long resident_kib(pid_t process) {
        std::ifstream file("/proc/" + std::to_string(process) + "/status");
        std::string word;
        while (file >> word && word != "VmRSS:") {
        }
        long n = 0;
        file >> n;
        return n;
    }
};

} // namespace

// Guards against new requests to an upstream that announces its stop in a response, at the node that received
// the response and at the others, although its registration says that it is ready.
TEST_CASE_FIXTURE(gateway_trouble_fixture,
                  "gateway, upstream announces its stop in a response, no node uses it any more") {
    auto& leaving = *subject.workers_of("lookups")[0];
    subject.configure_worker(leaving, "leaving=1");
    for (const auto& it : subject.nodes()) {
        it.process->wait_line("\"event\":\"upstream-leaving\",\"upstream\":\"" + leaving.id, 2000);
    }
    subject.put_worker_record(leaving, "ready", 7);
    const auto& later = *subject.workers_of("files")[0]; // Its record follows the other one.
    subject.put_worker_record(later, "draining", 2);
    for (const auto& it : subject.nodes()) {
        it.process->wait_line("\"address\":\"" + later.address + "\",\"draining\":true");
    }
    for (int n = 0; n < 20; ++n) {
        CHECK(served_by(0) == "i-lookups1");
        CHECK(served_by(1) == "i-lookups1");
    }
}

// Guards against more than two requests to an upstream in the time for which it asked for none, counting
// health checks, and against requests that fail meanwhile.
TEST_CASE_FIXTURE(gateway_trouble_fixture,
                  "gateway, upstream responds with 503 and a pause, sends it nothing until then") {
    auto& paused = *subject.workers_of("lookups")[0];
    subject.stop_and_remove(1);
    subject.configure_worker(paused, "mode=shed&retry-after=3");
    wait_until("the upstream has asked for a pause", [&] {
        CHECK(lookup().status == 200);
        const auto metrics = send({.address = node().control, .path = "/metrics"}).body;
        return metrics.find("upstream-paused") != std::string::npos;
    });
    subject.configure_worker(paused, "mode=good");
    const auto start = std::chrono::steady_clock::now();
    wait_until("the upstream is used again", [&] {
        const auto response = lookup();
        CHECK(response.status == 200);
        return response.header("Server-Signature") == paused.id;
    });
    CHECK(std::chrono::steady_clock::now() - start > std::chrono::milliseconds(2500));
    CHECK(received_in_pause(paused) <= 2);
}

// Guards against callers that wait although every upstream has asked for a pause that is longer than they can
// wait.
TEST_CASE_FIXTURE(gateway_trouble_fixture,
                  "gateway, all upstreams ask for a pause, refuses at once with the time that is left") {
    for (const auto* worker : subject.workers_of("lookups")) {
        subject.configure_worker(*worker, "mode=shed&retry-after=4");
    }
    lookup();
    lookup();
    const auto start = std::chrono::steady_clock::now();
    const auto response = lookup();
    CHECK(response.status == 503);
    CHECK(std::stod(response.header("Retry-After")) > 2);
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(250));
}

// Guards against a caller that gets the response to an earlier request, which names no request, or a success
// that no upstream signed.
TEST_CASE_FIXTURE(gateway_trouble_fixture,
                  "gateway, response names no request or has no signature, is never passed on") {
    for (const auto* mode : {"late-unnamed", "unsigned"}) {
        for (const auto* worker : subject.workers_of("orders")) {
            subject.configure_worker(*worker, std::string("mode=") + mode);
        }
        const auto id = std::string("u-") + mode;
        const auto response = subject.request(node(), "POST", "/o/a", id, "x");
        CHECK(response.status == 502);
        CHECK(subject.execution_count(id) == 1);
    }
}

// Guards against memory that grows with the bytes of an upstream that never stops sending, and against
// requests to other upstreams that suffer from it.
TEST_CASE_FIXTURE(gateway_trouble_fixture,
                  "gateway, upstream sends bytes without end, memory stays bounded and lookups succeed") {
    const auto process = node().process->id();
    for (const auto* mode : {"endless-head", "endless-body", "endless-chunk", "endless-shed"}) {
        CAPTURE(mode);
        subject.configure_worker(*subject.workers_of("lookups")[0], std::string("mode=") + mode);
        for (const auto* worker : subject.workers_of("orders")) {
            subject.configure_worker(*worker, std::string("mode=") + mode);
        }
        const auto before = resident_kib(process);
        for (int n = 0; n < 6; ++n) {
            CHECK(lookup().status == 200);
        }
        const auto start = std::chrono::steady_clock::now();
        const auto id = std::string("e-") + mode;
        const auto response = subject.request(node(), "POST", "/o/a", id, "x");
        CHECK(response.status >= 500);
        CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(1750));
        CHECK(resident_kib(process) - before < 16384);
    }
}

// Guards against memory that grows with the number of upstreams that send without end at the same time, and
// against bytes that come too slowly to exceed any size.
TEST_CASE_FIXTURE(
    gateway_trouble_fixture,
    "gateway, all upstreams of two services send without end, others are served in bounded memory") {
    constexpr int callers = 24;
    const auto process = node().process->id();
    for (const auto* mode : {"endless-head", "endless-chunk", "endless-body", "slow-head"}) {
        CAPTURE(mode);
        for (const auto* service : {"orders", "files"}) {
            for (const auto* worker : subject.workers_of(service)) {
                subject.configure_worker(*worker, std::string("mode=") + mode);
            }
        }
        const auto before = resident_kib(process);
        std::vector<std::thread> threads;
        std::atomic<int> successes{0};
        for (int k = 0; k < callers; ++k) {
            threads.emplace_back([&, k] {
                const auto id = std::string(mode) + "-" + std::to_string(k);
                const bool is_order = k % 2 == 0;
                const auto response = platform_deployment::request(node(), is_order ? "POST" : "GET",
                                                                   is_order ? "/o/a" : "/f/a", id);
                successes += response.is_complete && response.status == 200 ? 1 : 0;
            });
        }
        for (int n = 0; n < 20; ++n) {
            CHECK(lookup().status == 200);
            CHECK(resident_kib(process) - before < 65536);
        }
        for (auto& it : threads) {
            it.join();
        }
        CHECK(successes == 0);
        CHECK(resident_kib(process) - before < 65536);
    }
}

// Guards against health checks whose response never ends and takes the memory of the node that asked for it.
TEST_CASE_FIXTURE(gateway_trouble_fixture,
                  "gateway, health check responds without end, memory stays bounded and lookups succeed") {
    const auto process = node().process->id();
    const auto before = resident_kib(process);
    for (const auto* worker : subject.workers_of("lookups")) {
        subject.configure_worker(*worker, "mode=endless-health");
    }
    wait_until("probes have failed", [&] {
        CHECK(lookup().status == 200);
        return send({.address = node().control, .path = "/metrics"}).body.find("result=\"failed\"") !=
               std::string::npos;
    });
    for (int n = 0; n < 100; ++n) {
        CHECK(lookup().status == 200);
    }
    CHECK(resident_kib(process) - before < 16384);
}

// Guards against an order that is kept for ever because its caller has left and its upstream stays silent.
TEST_CASE_FIXTURE(gateway_trouble_fixture,
                  "gateway, caller of an order leaves and the upstream is silent, ends it at the deadline") {
    for (const auto* worker : subject.workers_of("orders")) {
        subject.configure_worker(*worker, "mode=mute");
    }
    auto connection = raw_connection::to(node().front);
    REQUIRE(connection.send("POST /o/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: left-1\r\n"
                            "Request-Timeout-Ms: 800\r\nContent-Length: 1\r\n\r\nx"));
    wait_until("the order runs", [&] { return subject.execution_count("left-1") == 1; });
    connection.close();
    node().process->wait_line("\"event\":\"caller-left\",\"request\":\"left-1\"");
    node().process->wait_line("\"event\":\"answered\",\"request\":\"left-1\"", 3000);
    CHECK(subject.execution_count("left-1") == 1);
}

// Guards against a process that ends, or forgets its settings, when the changed settings file is unusable.
TEST_CASE_FIXTURE(gateway_trouble_fixture, "gateway, unusable settings on SIGHUP, keeps serving") {
    const std::string failure = "\"event\":\"reload-failed\"";
    int reloads = 0;
    for (const auto& text : {std::string(), std::string("\xff\n=\n===\n"), std::string(1000000, 'x'),
                             std::string("node-name=n\nip=1\ninternal-ports=99999999999999999999\n")}) {
        std::ofstream(node().settings_path) << text;
        node().process->send(SIGHUP);
        ++reloads;
        wait_until("the reload has failed", [&] {
            CHECK(lookup().status == 200);
            node().process->wait_line("\"event\":\"answered\",\"request\":\"t-" + std::to_string(ids));
            const auto& output = node().process->output();
            int failed = 0;
            for (auto at = output.find(failure); at != std::string::npos; at = output.find(failure, at + 1)) {
                ++failed;
            }
            return failed == reloads;
        });
    }
}

// Guards against a second stop signal that cuts off what the first one lets finish.
TEST_CASE_FIXTURE(gateway_trouble_fixture, "gateway, stopped twice while a request runs, responds to it") {
    for (const auto* worker : subject.workers_of("orders")) {
        subject.configure_worker(*worker, "work=700");
    }
    const auto& stopping = node();
    auto connection = raw_connection::to(stopping.front);
    REQUIRE(connection.send("POST /o/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: twice-1\r\n"
                            "Content-Length: 1\r\n\r\nx"));
    wait_until("the order runs", [&] { return subject.execution_count("twice-1") == 1; });
    stopping.process->send(SIGTERM);
    stopping.process->wait_line("\"event\":\"stopping\"");
    stopping.process->send(SIGTERM);
    stopping.process->send(SIGINT);
    CHECK(connection.read_message().starts_with("HTTP/1.1 200"));
    CHECK(stopping.process->wait_exit(7000) == 0);
    CHECK(subject.execution_count("twice-1") == 1);
}

// Guards against nodes that differ on an upstream whose registration has become unreadable: those that have
// read the former one used it, and those that started later did not.
TEST_CASE_FIXTURE(gateway_trouble_fixture,
                  "gateway, registration becomes unreadable, no node uses it until it is readable again") {
    constexpr int lookups = 20;
    int sequence = 3; // rises with each record, as a lower one of the same start is ignored
    auto& changed = *subject.workers_of("lookups")[0];
    const auto entry = [&](const std::string& service, const std::string& state) {
        return R"({"service":")" + service + R"(","address":")" + changed.address +
               R"(","zone":"north","version":"v1","slots":4,"state":")" + state +
               R"(","warmup-left-s":0,"sequence":)" + std::to_string(sequence) + R"(,"born":1700000000000})";
    };
    const auto uses = [&](std::size_t n) {
        int used = 0;
        for (int k = 0; k < lookups; ++k) {
            used += served_by(n) == changed.id ? 1 : 0;
        }
        return used > 0;
    };
    for (const std::string state : {"{", "{}", "asleep", "ready"}) {
        ++sequence;
        const auto value = state.starts_with("{") ? state
                           : state == "ready"     ? entry("unknown-service", state)
                                                  : entry("lookups", state);
        CAPTURE(value);
        subject.put_record("keyed.servers", changed.id, value);
        for (std::size_t n = 0; n < subject.nodes().size(); ++n) {
            wait_until("the node does not use the upstream", [&] { return !uses(n); });
        }
        subject.put_worker_record(changed, "ready", ++sequence);
        for (std::size_t n = 0; n < subject.nodes().size(); ++n) {
            wait_until("the node uses the upstream again", [&] { return uses(n); });
        }
    }
    subject.put_record("keyed.servers", changed.id, "{");
    const auto& late = subject.start_node();
    platform_deployment::wait_ready(late);
    for (std::size_t n = 0; n < subject.nodes().size(); ++n) {
        wait_until("the node does not use the upstream", [&] { return !uses(n); });
    }
}

// Guards against nodes that differ on an upstream because they have read its registration before or after the
// configuration that contains its service.
TEST_CASE_FIXTURE(
    gateway_trouble_fixture,
    "gateway, service is configured after its upstream registered, all nodes use the upstream") {
    const auto& moved = *subject.workers_of("lookups")[0];
    subject.put_record("keyed.servers", moved.id,
                       R"({"service":"later","address":")" + moved.address +
                           R"(","zone":"north","version":"v1","slots":4,"state":"ready",)" +
                           R"("warmup-left-s":0,"sequence":3,"born":1700000000000})");
    for (std::size_t n = 0; n < subject.nodes().size(); ++n) {
        int served = 0;
        wait_until("the node has read the registration", [&] {
            served = served_by(n) == moved.id ? 0 : served + 1;
            return served == 20;
        });
    }
    auto config = platform_deployment::config(
        2, R"({"name":"later","path-prefix":"/later/","kind":"safe","timeout-s":2,"target-latency-s":0.5,)"
           R"("max-attempts":2,"priority":1,"service":"later"},)");
    const std::string services = R"("services":[)";
    config.insert(config.find(services) + services.size(), R"({"name":"later","health-path":"/healthz"},)");
    subject.put_operator_record("config", config);
    const auto& late = subject.start_node();
    platform_deployment::wait_ready(late);
    for (const auto& it : subject.nodes()) {
        wait_until("the node uses the upstream", [&] {
            return subject.request(it, "GET", "/later/a", "t-" + std::to_string(++ids)).status == 200;
        });
    }
}

// Guards against a node that ends, or stops following the registrations, because of one odd record.
TEST_CASE_FIXTURE(gateway_trouble_fixture,
                  "gateway, odd registrations and node records, keeps running and following") {
    const auto put = [&](const std::string& topic, const std::string& key, const std::string& value) {
        subject.put_record(topic, key, value);
    };
    const auto entry = [](const std::string& slots, const std::string& address) {
        return R"({"service":"lookups","address":")" + address +
               R"(","zone":"north","version":"v1","slots":)" + slots +
               R"(,"state":"ready","warmup-left-s":0,"sequence":1,"born":1700000000000})";
    };
    const std::vector<std::string> odd{std::string(20000, '['),
                                       R"({"service":)" + std::string(20000, '{'),
                                       entry("2147483647", "127.0.0.1:9"),
                                       entry("1e999", "127.0.0.1:9"),
                                       entry("99999999999999999999", "127.0.0.1:9"),
                                       entry("4", "127.0.0.1:0"),
                                       entry("4", "127.0.0.1:65536"),
                                       entry("4", "127.0.0.1:-1"),
                                       entry("4", std::string(100000, 'a')),
                                       "\xff\xfe\x01"};
    const auto node_record = [](const std::string& ip, const std::string& port) {
        return R"({"name":"x","ip":")" + ip + R"(","gossip_port":)" + port +
               R"(,"front_address":"127.0.0.1:1","failure_domain":"north","capacity":100})";
    };
    for (std::size_t n = 0; n < odd.size(); ++n) {
        put("keyed.servers", "0-odd-" + std::to_string(n), odd[n]);
    }
    put("keyed.nodes", "x1", node_record("nowhere", "7000"));
    put("keyed.nodes", "x2", node_record("127.0.0.1", "70000"));
    put("keyed.nodes", "x3", node_record("127.0.0.1", "-1"));
    put("keyed.nodes", "x4", "{");
    const auto& late = subject.start_node(); // Reads all of them at its start.
    platform_deployment::wait_ready(late);
    subject.put_worker_record(*subject.workers_of("lookups")[0], "draining", 2);
    for (const auto& it : subject.nodes()) {
        it.process->wait_line("\"upstream\":\"i-lookups0\",\"service\":\"lookups\",\"address\":\"" +
                                  subject.workers_of("lookups")[0]->address + "\",\"draining\":true",
                              4000);
    }
    for (int n = 0; n < 10; ++n) {
        for (std::size_t k = 0; k < 3; ++k) {
            CHECK(served_by(k) == "i-lookups1");
        }
    }
}

} // namespace berylcrank::testing
