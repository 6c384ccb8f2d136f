#include "modules/berylcrank_routing/berylcrank_routing.h"
#include "modules/berylcrank_routing/policy/subset.h"
#include "modules/berylcrank_routing/suspect/suspect_table.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <map>

/** Prints the tables of docs/MEASUREMENTS.md, part "decision cost": time for each request, memory, subsets.
 */
namespace berylcrank::bench {

namespace {

using wall = std::chrono::steady_clock;

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

double seconds_since(wall::time_point it) {
    return std::chrono::duration<double>(wall::now() - it).count();
}

/** Microseconds for acquire, report and release with `open` requests in flight. */
double decision_us(service_router& router, std::size_t open, int requests) {
    std::deque<route_grant> held;
    const auto start = wall::now();
    for (int n = 0; n < requests; ++n) {
        const instant now{millis::from_micros(n)};
        router.acquire(
            {},
            [&](const route_result& it) {
                if (const auto* granted = std::get_if<route_grant>(&it)) {
                    held.push_back(*granted);
                }
            },
            now);
        if (held.size() > open) {
            router.report_load(held.front(), {.in_flight = 2, .slots = 4}, now);
            router.release(held.front(), attempt_outcome::success, now);
            held.pop_front();
        }
    }
    const double it = seconds_since(start) / requests * 1e6;
    for (const auto& rest : held) {
        router.release(rest, attempt_outcome::success, instant{millis{1000}});
    }
    return it;
}

void report_time(bool has_subset) {
    constexpr int requests = 300000;
    std::printf(
        "\n| workers of the service | upstreams used | us per request | update ms | bytes per upstream used "
        "|\n|---|---|---|---|---|\n");
    for (const std::size_t workers : {30UL, 300UL, 3000UL, 30000UL}) {
        const auto all = make_upstreams(workers);
        service_router::options options;
        options.subset_size = has_subset ? options.subset_size : workers;
        const auto before = heap_bytes();
        service_router router({.name = "service", .queue_limit = 64}, options);
        const auto start = wall::now();
        router.update({.name = "service"}, all, instant{});
        const double update_ms = seconds_since(start) * 1e3;
        const auto used = router.stats(instant{}).upstreams;
        const auto bytes = static_cast<double>(heap_bytes() - before) / static_cast<double>(used);
        std::printf("| %zu | %zu | %.2f | %.2f | %.0f |\n", workers, used, decision_us(router, 30, requests),
                    update_ms, bytes);
    }
}

void report_services() {
    constexpr std::size_t services = 2800;
    constexpr std::size_t workers = 30000;
    const auto before = heap_bytes();
    std::vector<std::unique_ptr<service_router>> all;
    const auto start = wall::now();
    for (std::size_t n = 0; n < services; ++n) {
        const std::size_t first = n * workers / services;
        const std::size_t end = (n + 1) * workers / services;
        all.push_back(
            std::make_unique<service_router>(service_config{.name = "service"}, service_router::options{}));
        all.back()->update({.name = "service"}, make_upstreams(end - first, first), instant{});
    }
    const double ms = seconds_since(start) * 1e3;
    const double mb = static_cast<double>(heap_bytes() - before) / 1e6;
    std::printf("\n%zu services with %zu workers in one node: %.1f MB (%.0f bytes per worker, services "
                "included), first "
                "update of all %.0f ms\n",
                services, workers, mb, mb * 1e6 / workers, ms);
}

void report_subsets() {
    std::printf("\n| workers of the service | nodes | subset | nodes per worker, mean | most | connections "
                "for each node "
                "and worker so that 250 suffice |\n|---|---|---|---|---|---|\n");
    for (const auto& [workers, nodes] :
         {std::pair{15UL, 15UL}, {300UL, 300UL}, {3000UL, 300UL}, {30000UL, 600UL}}) {
        const auto upstreams = make_upstreams(workers);
        std::vector<subset_member> members;
        members.reserve(workers);
        for (const auto& it : upstreams) {
            members.push_back({.upstream = it.config.name, .failure_domain = it.config.failure_domain});
        }
        std::vector<std::size_t> used(workers);
        const std::size_t size = service_router::options{}.subset_size;
        for (std::size_t node = 1; node <= nodes; ++node) {
            for (const auto n : choose_subset(members, node * 0x9e3779b97f4a7c15ULL, size)) {
                ++used[n];
            }
        }
        const auto most = std::ranges::max(used);
        std::printf("| %zu | %zu | %zu | %.1f | %zu | %zu |\n", workers, nodes, std::min(size, workers),
                    static_cast<double>(nodes * std::min(size, workers)) / static_cast<double>(workers), most,
                    250 / most);
    }
}

void report_suspects() {
    const auto before = heap_bytes();
    suspect_table table({.self = {1}});
    for (std::uint64_t n = 0; n < 10000; ++n) {
        table.on_connection_lost(n, "worker-" + std::to_string(n % 100), std::to_string(n / 100), 2,
                                 instant{});
    }
    const auto bytes = static_cast<double>(heap_bytes() - before);
    constexpr int checks = 1000000;
    const auto start = wall::now();
    for (int n = 0; n < checks; ++n) {
        table.check(1000000 + static_cast<std::uint64_t>(n), instant{});
    }
    std::printf("\nSuspect table with %zu suspects: %.1f MB, check of an innocent request %.3f us\n",
                table.size(), bytes / 1e6, seconds_since(start) / checks * 1e6);
}

} // namespace

} // namespace berylcrank::bench

int main() {
    std::printf("With subsets (64) and samples (16):\n");
    berylcrank::bench::report_time(true);
    std::printf("\nWithout subsets, samples (16):\n");
    berylcrank::bench::report_time(false);
    berylcrank::bench::report_services();
    berylcrank::bench::report_subsets();
    berylcrank::bench::report_suspects();
    return 0;
}
