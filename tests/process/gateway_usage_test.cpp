#include "tests/support/platform_deployment.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <thread>

namespace berylcrank::testing {

namespace {

constexpr double rate = 10;  // requests per second of the capped account
constexpr double burst = 10; // of the capped account

std::string accounts(double rate_per_second, double burst_size) {
    return absl::StrCat(R"("tenants":[{"name":"capped","api-keys":["key-capped"],"rate-per-s":)",
                        rate_per_second, R"(,"burst":)", burst_size,
                        R"(},{"name":"other","api-keys":["key-other"]}],)");
}

/** Three nodes and an account with a usage cap. */
struct gateway_usage_fixture {
    static constexpr int workers = 3;

    platform_deployment subject{3, workers, 1, "", platform_deployment::config(1, "", accounts(rate, burst))};
    int ids{0};

    [[nodiscard]] test_response request(const platform_node& node, const std::string& id,
                                        const std::string& key = "key-capped",
                                        const std::string& method = "GET",
                                        const std::string& path = "/l/a") const {
        return send({.address = node.front,
                     .method = method,
                     .path = path,
                     .headers = {{"Host", "shop.example"},
                                 {"Request-Id", id},
                                 {"Request-Timeout-Ms", "1500"},
                                 {"Authorization", "Bearer " + key}}});
    }

    /** Result of a series of requests of the capped account. */
    struct series {
        int served{0};
        int refused{0};
        std::string last_refused;
        double seconds{0};
    };

    /** Sends requests to all nodes in turn. All must be served or be refused as not run. */
    series send_series(int count, const std::string& method, const std::string& path) {
        series result;
        const auto start = std::chrono::steady_clock::now();
        for (int n = 0; n < count; ++n) {
            // Refusals are fast. At this pace the series is longer than the time in which the burst is
            // available after the start of the nodes.
            std::this_thread::sleep_until(start + n * std::chrono::milliseconds(10));
            const auto id = absl::StrCat("u-", ++ids);
            const auto& node = subject.nodes()[static_cast<std::size_t>(n) % subject.nodes().size()];
            const auto response = request(node, id, "key-capped", method, path);
            CAPTURE(id);
            if (response.status == 200) {
                ++result.served;
                continue;
            }
            CHECK(response.status == 429);
            double retry_after = 0;
            CHECK(absl::SimpleAtod(response.header("Retry-After"), &retry_after));
            CHECK(retry_after > 0);
            ++result.refused;
            result.last_refused = id;
        }
        result.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        return result;
    }

    /** Requests that may run in a time of this length, by the rules for usage caps. */
    static double allowed(double seconds, double rate_per_second, double burst_size) {
        return (rate_per_second * std::max(5.0, seconds) + burst_size) * 1.1 + 20;
    }
};

} // namespace

// Guards against an account that gets its cap at each node, or no cap at all.
TEST_CASE_FIXTURE(gateway_usage_fixture,
                  "gateway, account sends more than its cap to three nodes, the cap holds") {
    std::string method = "GET";
    std::string path = "/l/a";
    SUBCASE("lookups") {}
    SUBCASE("orders") {
        method = "POST";
        path = "/o/a";
    }
    const auto result = send_series(240, method, path);
    CAPTURE(result.seconds);
    CHECK(result.served <= allowed(result.seconds, rate, burst));
    CHECK(result.served >= burst);
    REQUIRE(result.refused > 0);
    CHECK(subject.execution_count(result.last_refused) == 0);
    CHECK(request(subject.nodes().front(), absl::StrCat("o-", ++ids), "key-other").status == 200);
}

// Guards against a lower cap that holders ignore.
TEST_CASE_FIXTURE(gateway_usage_fixture, "gateway, cap is lowered, the lower cap holds") {
    CHECK(send_series(12, "GET", "/l/a").served > 0);
    subject.put_operator_record("config", platform_deployment::config(2, "", accounts(1, 1)));
    for (const auto& it : subject.nodes()) {
        it.process->wait_line(R"("event":"config-applied","version":2)");
    }
    const auto result = send_series(240, "GET", "/l/a");
    CAPTURE(result.seconds);
    CHECK(result.served <= allowed(result.seconds, 1, 1));
}

} // namespace berylcrank::testing
