#include "bench/once/linear_fit.h"
#include "bench/once/relay_cost.h"
#include "bench/once/table_cost.h"

#include <cstdio>
#include <vector>

namespace berylcrank::bench {

namespace {

void print_fit(const char* name, const char* x_name, const std::vector<point>& points) {
    const auto line = fit(points);
    std::printf("  fit: %s = %.4g + %.4g * %s (r2 %.3f)\n", name, line.intercept, line.slope, x_name,
                line.r_squared);
}

void print_table_costs(std::size_t body_bytes) {
    std::printf("order_table, response bodies of %zu bytes\n%10s %12s %10s %10s %10s %10s\n", body_bytes,
                "ids", "bytes", "bytes/id", "order ns", "retry ns", "expire ns");
    std::vector<point> bytes;
    std::vector<point> order;
    std::vector<point> retry;
    std::vector<point> expire;
    for (const std::size_t ids : {10000, 30000, 100000, 300000, 1000000}) {
        const auto cost = measure_table(ids, body_bytes);
        const auto x = static_cast<double>(ids);
        std::printf("%10zu %12.0f %10.1f %10.0f %10.0f %10.0f\n", ids, cost.bytes, cost.bytes / x,
                    cost.order_ns, cost.retry_ns, cost.expire_ns);
        bytes.push_back({.x = x, .y = cost.bytes});
        order.push_back({.x = x, .y = cost.order_ns});
        retry.push_back({.x = x, .y = cost.retry_ns});
        expire.push_back({.x = x, .y = cost.expire_ns});
    }
    print_fit("bytes", "ids", bytes);
    print_fit("order ns", "ids", order);
    print_fit("retry ns", "ids", retry);
    print_fit("expire ns", "ids", expire);
}

void print_contention() {
    constexpr std::size_t ids_per_thread = 50000;
    std::printf("order_table, tick with nothing due, 100000 ids: %.0f ns\n", measure_idle_tick(100000));
    std::printf("order_table, orders run by concurrent threads\n%10s %22s\n", "threads",
                "ns/order per thread");
    for (const unsigned threads : {1U, 2U, 4U}) {
        std::printf("%10u %22.0f\n", threads, measure_contention(threads, ids_per_thread));
    }
}

void print_relay_costs() {
    std::printf(
        "relay between two nodes on loopback, request and response with the same body\n%10s %10s %10s %14s\n",
        "body", "p50 us", "p99 us", "bytes on wire");
    std::vector<point> latency;
    std::vector<point> traffic;
    for (const std::size_t body_bytes : {0, 1024, 16384, 65536, 262144, 1048576}) {
        const auto cost = measure_relay(body_bytes, body_bytes > 100000 ? 300 : 2000);
        const auto x = static_cast<double>(body_bytes);
        std::printf("%10zu %10.1f %10.1f %14.0f\n", body_bytes, cost.p50_us, cost.p99_us, cost.bytes);
        latency.push_back({.x = x, .y = cost.p50_us});
        traffic.push_back({.x = x, .y = cost.bytes});
    }
    print_fit("p50 us", "body bytes", latency);
    print_fit("wire bytes", "body bytes", traffic);
}

} // namespace

} // namespace berylcrank::bench

int main() {
    berylcrank::bench::print_table_costs(0);
    berylcrank::bench::print_table_costs(512);
    berylcrank::bench::print_contention();
    berylcrank::bench::print_relay_costs();
    return 0;
}
