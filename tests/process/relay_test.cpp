#include "modules/berylcrank_node/request/idempotent_flow.h"
#include "tests/http/fixed_router.h"
#include "tests/http/local_server.h"
#include "tests/support/child.h"
#include "tests/support/raw_socket.h"

#include <doctest/doctest.h>
#include <fstream>
#include <nlohmann/json.hpp>

namespace berylcrank::testing {

namespace {

/** Two upstream processes behind an `idempotent_flow` in this process. */
struct relay_fixture {
    child upstreams[2]{child({program_path("standin_upstream"), "--port", "0"}),
                       child({program_path("standin_upstream"), "--port", "0"})};
    std::string addresses[2]{upstreams[0].wait_listening().at("http"),
                             upstreams[1].wait_listening().at("http")};
    fixed_router router{{addresses[0], addresses[1]}};
    std::unique_ptr<upstream_client> client = make_upstream_client({.threads = 1});
    steady_clock time;
    idempotent_flow flow{{.id_prefix = "t"}, router, *client, time};
    function_handler handler{[this](auto exchange) {
        const auto path = exchange->request().path;
        const auto kind = path.starts_with("/blob/") ? request_class::download : request_class::lookup;
        flow.run({.exchange = std::move(exchange), .service = "s", .request_class = kind, .path = path});
    }};
    std::unique_ptr<http_server> server = start_server({}, handler);
    raw_connection caller = raw_connection::to(server->address());

    ~relay_fixture() {
        server.reset();
        client.reset(); // Its callbacks use the members above.
    }

    static std::string get(raw_connection& connection, const std::string& path) {
        connection.send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto message = connection.read_message();
        return message.substr(message.find("\r\n\r\n") + 4);
    }

    static void control(const std::string& address, const nlohmann::json& change) {
        auto connection = raw_connection::to(address);
        const auto body = change.dump();
        connection.send("POST /control HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body);
        REQUIRE(connection.read_message().starts_with("HTTP/1.1 200"));
    }

    static nlohmann::json counters(const std::string& address) {
        auto connection = raw_connection::to(address);
        return nlohmann::json::parse(get(connection, "/executions"));
    }
};

constexpr std::size_t download_bytes = 32U << 20U;
const std::string download_path = "/blob/" + std::to_string(download_bytes) + "/7";

// Limit of the memory growth for four slow callers. Each uses 256 KiB of buffer and as much again in libcurl
// and in blocks in transit. Shadow memory and quarantine of the sanitizers multiply this. Unbounded buffers
// would hold 128 MiB without the sanitizers' overhead.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
constexpr std::size_t max_buffered_bytes = 8 * 4 * 1000000;
#else
constexpr std::size_t max_buffered_bytes = 4 * 1000000;
#endif

/** Resident memory of this process in bytes. */
std::size_t resident_bytes() {
    std::ifstream statm("/proc/self/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    statm >> size >> resident;
    return resident * 4096;
}

} // namespace

// Guards against a download that is truncated or has a gap when its upstream crashes during it.
TEST_CASE_FIXTURE(relay_fixture, "relay, upstream killed during a download, same bytes from another one") {
    caller.send("GET " + download_path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    caller.read_until("\r\n\r\n");
    auto body = caller.read(1000000);
    upstreams[0].send(SIGKILL);
    CHECK(upstreams[0].wait_exit() == 128 + SIGKILL);
    body += caller.read(download_bytes - body.size());
    auto direct = raw_connection::to(addresses[1]);
    CHECK((body == get(direct, download_path)));
    CHECK(flow.counted().resumed == 1);
}

// Guards against gaps and overlaps when a download is interrupted twice. Each part must start where the
// previous one ended.
TEST_CASE_FIXTURE(relay_fixture, "relay, download cut twice at unaligned offsets, same bytes") {
    control(addresses[0], {{"fault", "cut"}, {"fault_bytes", 1234567}, {"fault_count", 1}});
    control(addresses[1], {{"fault", "cut"}, {"fault_bytes", 777777}, {"fault_count", 1}});
    const auto body = get(caller, download_path);
    auto direct = raw_connection::to(addresses[1]);
    CHECK((body == get(direct, download_path)));
    CHECK(flow.counted().resumed == 2);
}

// Guards against buffering a whole download for a caller that does not read.
TEST_CASE_FIXTURE(relay_fixture, "relay, slow caller, memory stays bounded") {
    get(caller, "/blob/1000000/1");
    const auto before = resident_bytes();
    std::vector<raw_connection> slow;
    for (int i = 0; i < 4; ++i) {
        slow.push_back(raw_connection::to(server->address()));
        slow.back().send("GET " + download_path + " HTTP/1.1\r\nHost: a\r\n\r\n");
        slow.back().read_until("\r\n\r\n");
    }
    // Five consecutive samples without significant growth show that the transfer has stalled. An unbounded
    // buffer grows by hundreds of megabytes per second.
    auto last = resident_bytes();
    int stable_samples = 0;
    wait_until([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        const auto now = resident_bytes();
        stable_samples = now < last + 262144 ? stable_samples + 1 : 0;
        last = std::max(last, now);
        return stable_samples == 5;
    });
    CHECK(resident_bytes() - before < max_buffered_bytes);
    for (auto& connection : slow) {
        CHECK(connection.read(download_bytes).size() == download_bytes);
    }
}

// Guards against an upstream that keeps working for a caller that has disconnected.
TEST_CASE_FIXTURE(relay_fixture, "relay, caller disconnects, upstream cancels the work") {
    control(addresses[0], {{"service_ms", 60000}});
    caller.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
    wait_until([&] { return counters(addresses[0]).at("in_flight") == 1; });
    caller.close();
    wait_until([&] { return counters(addresses[0]).at("cancelled_running") == 1; });
    CHECK(counters(addresses[0]).at("in_flight") == 0);
    CHECK(counters(addresses[1]).at("received") == 0);
}

TEST_CASE_FIXTURE(relay_fixture,
                  "relay, each fault of an upstream, caller gets the other one's complete response") {
    int n = 0;
    for (const std::string fault : {"wrong_id", "missing_id", "close", "truncated", "truncated_chunked"}) {
        CAPTURE(fault);
        control(addresses[0], {{"fault", fault}});
        const auto body = get(caller, "/x?bytes=5000");
        CHECK(body.size() == 5000);
        CHECK(counters(addresses[1]).at("executed") == ++n);
    }
}

// Guards against a planned stop that aborts requests in flight.
TEST_CASE_FIXTURE(relay_fixture, "standin_upstream, SIGTERM during work, responds and exits 0") {
    control(addresses[0], {{"service_ms", 300}});
    caller.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
    wait_until([&] { return counters(addresses[0]).at("in_flight") == 1; });
    upstreams[0].send(SIGTERM);
    CHECK(caller.read_message().starts_with("HTTP/1.1 200"));
    CHECK(upstreams[0].wait_exit() == 0);
    CHECK(flow.counted().retries == 0);
}

} // namespace berylcrank::testing
