#include "modules/berylcrank_routing/berylcrank_routing.h"
#include "modules/berylcrank_routing/policy/subset.h"
#include "modules/berylcrank_suspect/berylcrank_suspect.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>

/** Prints the tables of docs/MEASUREMENTS.md, section "decision cost": time per request, memory, subsets. */
namespace berylcrank::bench {

namespace {

using clock_type = std::chrono::steady_clock;

std::size_t heap_bytes() {
    return mallinfo2().uordblks;
}

std::vector<routed_upstream> make_upstreams(std::size_t count, std::size_t first = 0) {
    std::vector<routed_upstream> all;
    for (std::size_t n = first; n < first + count; ++n) {
        all.push_back({.config = {.name = "worker-" + std::to_string(n),
                                  .service = "service",
                                  .failure_domain = "domain-" + std::to_string(n % 3),
                                  .address = "10.0.0.1:8000",
                                  .slots = 4}});
    }
    return all;
}

double seconds_since(clock_type::time_point start) {
    return std::chrono::duration<double>(clock_type::now() - start).count();
}

/** Returns the mean time of acquire, load report and release in microseconds, with `in_flight` requests in
    flight. */
double decision_us(service_router& router, std::size_t in_flight, int requests) {
    std::deque<route_grant> grants;
    const auto start = clock_type::now();
    for (int n = 0; n < requests; ++n) {
        const instant now{millis::from_micros(n)};
        router.acquire(
            {},
            [&](const route_result& result) {
                if (const auto* granted = std::get_if<route_grant>(&result)) {
                    grants.push_back(*granted);
                }
            },
            now);
        if (grants.size() > in_flight) {
            router.report_load(grants.front(), {.in_flight = 2, .slots = 4}, now);
            router.release(grants.front(), attempt_outcome::success, now);
            grants.pop_front();
        }
    }
    const double us = seconds_since(start) / requests * 1e6;
    for (const auto& grant : grants) {
        router.release(grant, attempt_outcome::success, instant{millis{1000}});
    }
    return us;
}

void report_decision_time(bool has_subset) {
    constexpr int requests = 300000;
    std::printf("\n| upstreams of the service | used upstreams | us per request | update ms | bytes per "
                "used upstream "
                "|\n|---|---|---|---|---|\n");
    for (const std::size_t upstream_count : {30UL, 300UL, 3000UL, 30000UL}) {
        const auto upstreams = make_upstreams(upstream_count);
        service_router::options options;
        options.subset_size = has_subset ? options.subset_size : upstream_count;
        const auto before = heap_bytes();
        service_router router({.name = "service", .queue_limit = 64}, options);
        const auto start = clock_type::now();
        router.update({.name = "service"}, upstreams, instant{});
        const double update_ms = seconds_since(start) * 1e3;
        const auto used_count = router.stats(instant{}).upstreams;
        const auto bytes = static_cast<double>(heap_bytes() - before) / static_cast<double>(used_count);
        std::printf("| %zu | %zu | %.2f | %.2f | %.0f |\n", upstream_count, used_count,
                    decision_us(router, 30, requests), update_ms, bytes);
    }
}

void report_services() {
    constexpr std::size_t service_count = 2800;
    constexpr std::size_t upstream_count = 30000;
    const auto before = heap_bytes();
    std::vector<std::unique_ptr<service_router>> routers;
    const auto start = clock_type::now();
    for (std::size_t n = 0; n < service_count; ++n) {
        const std::size_t first = n * upstream_count / service_count;
        const std::size_t end = (n + 1) * upstream_count / service_count;
        routers.push_back(
            std::make_unique<service_router>(service_config{.name = "service"}, service_router::options{}));
        routers.back()->update({.name = "service"}, make_upstreams(end - first, first), instant{});
    }
    const double ms = seconds_since(start) * 1e3;
    const double mb = static_cast<double>(heap_bytes() - before) / 1e6;
    std::printf("\n%zu services with %zu upstreams in one node: %.1f MB (%.0f bytes per upstream, services "
                "included), first update of all services %.0f ms\n",
                service_count, upstream_count, mb, mb * 1e6 / upstream_count, ms);
}

void report_subsets() {
    std::printf(
        "\n| upstreams of the service | nodes | subset size | mean nodes per upstream | max nodes per "
        "upstream | connections per node to an upstream that accepts 250 "
        "|\n|---|---|---|---|---|---|\n");
    for (const auto& [upstream_count, node_count] :
         {std::pair{15UL, 15UL}, {300UL, 300UL}, {3000UL, 300UL}, {30000UL, 600UL}}) {
        const auto upstreams = make_upstreams(upstream_count);
        std::vector<subset_member> members;
        members.reserve(upstream_count);
        for (const auto& upstream : upstreams) {
            members.push_back(
                {.upstream = upstream.config.name, .failure_domain = upstream.config.failure_domain});
        }
        std::vector<std::size_t> node_counts(upstream_count);
        const std::size_t size = service_router::options{}.subset_size;
        for (std::size_t node = 1; node <= node_count; ++node) {
            for (const auto index : choose_subset(members, node * 0x9e3779b97f4a7c15ULL, size)) {
                ++node_counts[index];
            }
        }
        const auto max_nodes = std::ranges::max(node_counts);
        std::printf("| %zu | %zu | %zu | %.1f | %zu | %zu |\n", upstream_count, node_count,
                    std::min(size, upstream_count),
                    static_cast<double>(node_count * std::min(size, upstream_count)) /
                        static_cast<double>(upstream_count),
                    max_nodes, 250 / max_nodes);
    }
}

void report_suspects() {
    const auto before = heap_bytes();
    suspect_table table({}, [](const upstream_loss&) { return false; });
    for (std::uint64_t n = 0; n < 10000; ++n) {
        table.on_lost(n, {.upstream = static_cast<std::uint32_t>(n % 100), .run = n / 100}, instant{});
    }
    const auto bytes = static_cast<double>(heap_bytes() - before);
    constexpr int checks = 1000000;
    const auto start = clock_type::now();
    for (int n = 0; n < checks; ++n) {
        table.check(1000000 + static_cast<std::uint64_t>(n), instant{});
    }
    std::printf(
        "\nSuspect table with %zu suspects: %.1f MB, check of a request that is not a suspect %.3f us\n",
        table.size(), bytes / 1e6, seconds_since(start) / checks * 1e6);
}

} // namespace

} // namespace berylcrank::bench

int main() {
    std::printf("With subsets of 64 upstreams and samples of 16:\n");
    berylcrank::bench::report_decision_time(true);
    std::printf("\nWithout subsets, with samples of 16:\n");
    berylcrank::bench::report_decision_time(false);
    berylcrank::bench::report_services();
    berylcrank::bench::report_subsets();
    berylcrank::bench::report_suspects();
    return 0;
}
