#include "tests/support/platform_deployment.h"
#include "tests/support/raw_socket.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <vector>

namespace berylcrank::testing {

namespace {

constexpr std::size_t client_count = 200;
constexpr std::size_t body_bytes = 1000000; // below the max-body-bytes of the deployment, 1 MiB
constexpr std::size_t missing_bytes = 10;   // that a client never sends
constexpr std::size_t piece_bytes = 32768;  // that a client sends before the next client's turn
constexpr long memory_mb = 64;
constexpr std::size_t max_descriptors = 300; // the clients' and those of a node without clients

constexpr std::size_t connection_count = 300; // of clients that keep connections open
constexpr std::size_t max_fds = 400;
constexpr std::size_t file_descriptors = 200; // part of max_fds that is left to files

std::string head(const std::string& framing) {
    return absl::StrCat("POST /o/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: crowd\r\n", framing,
                        "\r\n\r\n");
}

std::string declared_body() {
    return head(absl::StrCat("Content-Length: ", body_bytes)) + std::string(body_bytes - missing_bytes, 'x');
}

// A body of about `bytes` in chunks, without the last chunk.
std::string chunked_body(std::size_t bytes, std::size_t chunk) {
    auto text = head("Transfer-Encoding: chunked");
    const auto piece = absl::StrCat(absl::Hex(chunk), "\r\n", std::string(chunk, 'x'), "\r\n");
    for (std::size_t n = 0; n + chunk <= bytes; n += chunk) {
        text += piece;
    }
    return text;
}

struct gateway_crowd_fixture {
    platform_deployment subject{1, 1, 1, absl::StrCat("limits.memory-mb=", memory_mb, "\n")};
    pid_t process{subject.nodes()[0].process->id()};
    std::size_t descriptors{0}; // most that were open

    [[nodiscard]] const platform_node& node() { return subject.nodes()[0]; }

    // Peak resident memory of the node in KiB, or -1 if the process has ended.
    [[nodiscard]] long peak_kib() const {
        std::ifstream file(absl::StrCat("/proc/", process, "/status"));
        std::string word;
        while (file >> word && word != "VmHWM:") {
        }
        long n = -1;
        return file >> n ? n : -1;
    }

    void count_descriptors() {
        std::error_code ec;
        const auto files = std::filesystem::directory_iterator(absl::StrCat("/proc/", process, "/fd"), ec);
        descriptors =
            std::max(descriptors, static_cast<std::size_t>(std::distance(begin(files), end(files))));
    }

    // Sends `text` from all clients, a piece at a time in turn, so that all stop at about the same time.
    // Returns when the node has closed all connections, hence has read what it was sent.
    void send_from_all(const std::string& address, const std::string& text) {
        std::vector<raw_connection> clients;
        std::vector<bool> open(client_count, true);
        for (std::size_t n = 0; n < client_count; ++n) {
            clients.push_back(raw_connection::to(address));
        }
        for (std::size_t at = 0; at < text.size(); at += piece_bytes) {
            const auto piece = text.substr(at, piece_bytes);
            for (std::size_t n = 0; n < client_count; ++n) {
                open[n] = open[n] && clients[n].send(piece); // fails if the node has closed the connection
            }
            count_descriptors();
        }
        for (auto& it : clients) {
            CHECK(it.wait_closed());
        }
    }

    void check_node() {
        const auto peak = peak_kib();
        MESSAGE("peak resident memory ", peak, " KiB, most open descriptors ", descriptors);
        CHECK(kill(process, 0) == 0);
        CHECK(peak > 0);
        CHECK(peak <= memory_mb * 1024);
        CHECK(descriptors <= max_descriptors);
        CHECK(subject.request(node(), "GET", "/l/a", "ordinary").status == 200);
    }
};

/** A node whose descriptors do not suffice for the connections that clients open and keep. */
struct gateway_descriptor_fixture {
    platform_deployment subject{1, 1, 1, absl::StrCat("limits.max-fds=", max_fds, "\n")};
    const platform_node& node{subject.nodes()[0]};
    std::vector<raw_connection> clients;

    [[nodiscard]] std::size_t descriptors() const {
        const auto folder = absl::StrCat("/proc/", node.process->id(), "/fd");
        const auto files = std::filesystem::directory_iterator(folder);
        return static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

    // Sends `text` on each of many connections and keeps them open.
    void open_all(const std::string& address, const std::string& text) {
        for (std::size_t n = 0; n < connection_count; ++n) {
            clients.push_back(raw_connection::to(address));
            clients.back().send(text);
        }
    }

    void check_node() {
        // The node accepts this connection behind those of the clients.
        CHECK(subject.request(node, "GET", "/l/a", "ordinary").status == 200);
        const auto n = descriptors();
        MESSAGE("open descriptors ", n);
        CHECK(n <= max_fds - file_descriptors);
        CHECK(kill(node.process->id(), 0) == 0);
    }
};

} // namespace

// Guards against a process that is killed because it keeps all bodies that clients send at once.
TEST_CASE_FIXTURE(gateway_crowd_fixture,
                  "gateway, many bodies of declared length stop short of their end, memory stays bounded") {
    send_from_all(node().front, declared_body());
    check_node();
}

// Guards against the same with bodies whose length is not known in advance.
TEST_CASE_FIXTURE(gateway_crowd_fixture,
                  "gateway, many bodies in large chunks stop short of their end, memory stays bounded") {
    send_from_all(node().front, chunked_body(body_bytes, 32768));
    check_node();
}

// Guards against a body in chunks that costs more memory than its size because of the chunks' overhead.
TEST_CASE_FIXTURE(
    gateway_crowd_fixture,
    "gateway, many bodies in chunks of one byte stop short of their end, memory stays bounded") {
    send_from_all(node().front, chunked_body(body_bytes / 2, 1));
    check_node();
}

// Guards against a body far over the limit that is read, whether its length says so or not.
TEST_CASE_FIXTURE(gateway_crowd_fixture,
                  "gateway, many bodies announce a length far over the limit, memory stays bounded") {
    send_from_all(node().front, head(absl::StrCat("Content-Length: ", 100 * body_bytes)) +
                                    std::string(2 * body_bytes, 'x'));
    check_node();
}

TEST_CASE_FIXTURE(gateway_crowd_fixture,
                  "gateway, many bodies grow far over the limit, memory stays bounded") {
    send_from_all(node().front, chunked_body(3 * body_bytes, 32768));
    check_node();
}

// Guards against a bound that holds only for the listener for callers' requests.
TEST_CASE_FIXTURE(gateway_crowd_fixture,
                  "gateway, many bodies stop short at the directory listener, memory stays bounded") {
    send_from_all(node().directory, declared_body());
    check_node();
}

// Guards against a shortage that operators cannot see, and against a log line for each refused request.
TEST_CASE_FIXTURE(gateway_crowd_fixture,
                  "gateway, memory for requests is short, logs it once and shows gauges") {
    send_from_all(node().front, declared_body());
    auto& log = *node().process;
    log.wait_line("\"event\":\"memory-short\"");
    const auto metrics = send({.address = node().control, .path = "/metrics"}).body;
    CHECK(metrics.find("kind=\"memory_refused\"") != std::string::npos);
    CHECK(metrics.find("kind=\"memory_shed\"") != std::string::npos);
    CHECK(metrics.find("kind=\"memory_charged_bytes\"") != std::string::npos);
    CHECK(metrics.find("kind=\"caller_connections\"") != std::string::npos);
    log.send(SIGTERM);
    CHECK(log.wait_exit() == 0);
    const auto& text = log.output();
    CHECK(text.find("\"memory-short\"") == text.rfind("\"memory-short\""));
}

// Guards against connections that take all descriptors, so that upstreams and the store cannot be reached.
TEST_CASE_FIXTURE(
    gateway_descriptor_fixture,
    "gateway, many idle connections, descriptors stay bounded and ordinary callers are served") {
    open_all(node.front, "");
    check_node();
    const auto metrics = send({.address = node.control, .path = "/metrics"}).body;
    CHECK(metrics.find("kind=\"connections_closed_idle\"") != std::string::npos);
    CHECK(metrics.find("kind=\"connections_closed_stalled\"") != std::string::npos);
    node.process->wait_line("\"event\":\"connections-short\"");
}

// Guards against connections that are never closed because their request has begun.
TEST_CASE_FIXTURE(
    gateway_descriptor_fixture,
    "gateway, many incomplete heads, descriptors stay bounded and ordinary callers are served") {
    open_all(node.front, "GET /l/a HTTP/1.1\r\nHost: shop.exam");
    check_node();
}

// Guards against the same with requests that stop in their body.
TEST_CASE_FIXTURE(
    gateway_descriptor_fixture,
    "gateway, many incomplete short bodies, descriptors stay bounded and ordinary callers are served") {
    open_all(node.front, head("Content-Length: 1000") + std::string(990, 'x'));
    check_node();
}

// Guards against a limit that holds only for the listener for callers' requests.
TEST_CASE_FIXTURE(gateway_descriptor_fixture,
                  "gateway, many idle connections to the directory, descriptors stay bounded") {
    open_all(node.directory, "");
    CHECK(send({.address = node.directory, .path = "/api/resolve"}).is_complete);
    check_node();
}

} // namespace berylcrank::testing
