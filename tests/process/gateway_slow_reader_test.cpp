#include "tests/support/platform_deployment.h"
#include "tests/support/raw_socket.h"

#include <absl/strings/str_cat.h>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <thread>
#include <vector>

namespace berylcrank::testing {

namespace {

constexpr std::size_t client_count = 80;
constexpr int requests_per_client = 24;
constexpr std::size_t download_bytes = 250000; // a response that is forwarded when it is complete
constexpr int receive_buffer = 4096;           // bytes
constexpr long memory_mb = 64;
constexpr std::size_t max_descriptors = 300;
constexpr std::chrono::seconds hold_time{5};  // for which the clients read nothing
constexpr std::chrono::milliseconds pause{2}; // between two requests

/** A node with little memory whose clients request downloads and do not read them. */
struct gateway_slow_reader_fixture {
    platform_deployment subject{1, 3, 1, absl::StrCat("limits.memory-mb=", memory_mb, "\n")};
    pid_t process{subject.nodes()[0].process->id()};
    std::vector<raw_connection> clients;
    int ids{0};

    gateway_slow_reader_fixture() {
        for (const auto* it : subject.workers_of("files")) {
            platform_deployment::configure_worker(*it, absl::StrCat("bytes=", download_bytes));
        }
    }

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

    [[nodiscard]] std::size_t descriptors() const {
        const auto files = std::filesystem::directory_iterator(absl::StrCat("/proc/", process, "/fd"));
        return static_cast<std::size_t>(std::distance(begin(files), end(files)));
    }

    // Sends `count` pipelined requests for a download on each of many connections.
    void request_downloads(int count) {
        for (std::size_t n = 0; n < client_count; ++n) {
            clients.push_back(raw_connection::with_receive_buffer(node().front, receive_buffer));
        }
        for (int n = 0; n < count; ++n) {
            for (const auto& it : clients) {
                it.send(absl::StrCat("GET /f/a HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: slow-", ++ids,
                                     "\r\n\r\n"));
                std::this_thread::sleep_for(pause); // so that the requests are served and not refused
            }
        }
    }

    void check_node() {
        std::this_thread::sleep_for(hold_time);
        const auto peak = peak_kib();
        MESSAGE("peak resident memory ", peak, " KiB, open descriptors ", descriptors());
        CHECK(kill(process, 0) == 0);
        CHECK(peak > 0);
        CHECK(peak <= memory_mb * 1024);
        CHECK(descriptors() <= max_descriptors);
        CHECK(subject.request(node(), "GET", "/l/a", "ordinary").status == 200);
        CHECK(subject.request(node(), "GET", "/f/a", "download").body.size() == download_bytes);
    }
};

} // namespace

// Guards against a process that is killed because it keeps the responses that clients do not read.
TEST_CASE_FIXTURE(gateway_slow_reader_fixture,
                  "gateway, many clients pipeline downloads and do not read, memory stays bounded") {
    request_downloads(requests_per_client);
    check_node();
}

// Guards against the same with one download on each of many connections.
TEST_CASE_FIXTURE(gateway_slow_reader_fixture,
                  "gateway, many clients request a download and do not read, memory stays bounded") {
    request_downloads(1);
    check_node();
}

} // namespace berylcrank::testing
