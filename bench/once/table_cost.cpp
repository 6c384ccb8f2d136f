#include "bench/once/table_cost.h"

#include "modules/berylcrank_once/berylcrank_once.h"

#include <algorithm>
#include <chrono>
#include <malloc.h>
#include <thread>
#include <vector>

namespace berylcrank::bench {

namespace {

constexpr std::size_t operation_count = 20000;
constexpr millis lifetime{600000};
constexpr millis timeout{2000};

double heap_bytes() {
    const auto usage = ::mallinfo2();
    return static_cast<double>(usage.uordblks + usage.hblkhd);
}

/** Calls `run_operations`, which performs `count` operations. Returns the mean time of one operation in
    nanoseconds. */
template <typename Function>
double ns_per_operation(std::size_t count, Function run_operations) {
    const auto start = std::chrono::steady_clock::now();
    run_operations();
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
    return elapsed.count() / static_cast<double>(count);
}

/** Returns the id with number `n` of `count` ids that are minted at a constant rate over the lifetime. */
request_id make_id(std::size_t n, std::size_t count) {
    const auto minted = static_cast<std::int64_t>(n) * lifetime.count() / static_cast<std::int64_t>(count);
    return {.home = {1}, .minted = instant{millis{minted}}, .serial = n, .number = 1};
}

void run_order(order_table& table, const request_id& id, instant now, const std::string& body) {
    table.admit(id, {.low = id.serial, .high = 1}, now + timeout, now, [](const shared_response&) {});
    if (const auto attempt = table.begin_dispatch(id, now)) {
        table.finish(id, *attempt, {.verdict = run_verdict::ran, .status = 200, .body = body});
    }
}

} // namespace

table_cost measure_table(std::size_t ids, std::size_t body_bytes) {
    table_cost cost;
    const std::size_t ids_per_tick = std::max<std::size_t>(ids / 600, 1); // One tick per second.
    const auto before = heap_bytes();
    order_table table({.max_entries = 4 * (ids + operation_count),
                       .max_bytes = std::size_t{1} << 34U,
                       .lifetime = lifetime});
    const std::string body(body_bytes, 'x');
    for (std::size_t n = 0; n < ids; ++n) {
        const auto id = make_id(n, ids);
        run_order(table, id, id.minted, body);
        if (n % ids_per_tick == 0) {
            table.tick(id.minted);
        }
    }
    cost.bytes = heap_bytes() - before;
    const instant filled_at{lifetime - millis{1}};
    cost.retry_ns = ns_per_operation(operation_count, [&] {
        for (std::size_t n = 0; n < operation_count; ++n) {
            const auto id = make_id(n * 7919 % ids, ids);
            table.admit(id, {.low = id.serial, .high = 1}, instant::never(), filled_at,
                        [](const shared_response&) {});
        }
    });
    cost.order_ns = ns_per_operation(operation_count, [&] {
        for (std::size_t n = 0; n < operation_count; ++n) {
            run_order(table, {.home = {1}, .minted = filled_at, .serial = ids + n}, filled_at, body);
        }
    });
    cost.expire_ns = ns_per_operation(ids, [&] {
        for (millis elapsed{0}; elapsed < lifetime; elapsed += millis{1000}) {
            table.tick(instant{lifetime + elapsed});
        }
    });
    return cost;
}

double measure_idle_tick(std::size_t ids) {
    order_table table({.max_entries = 4 * ids, .lifetime = lifetime});
    for (std::size_t n = 0; n < ids; ++n) {
        run_order(table, {.home = {1}, .serial = n}, instant{}, "");
    }
    table.tick(instant{timeout});
    return ns_per_operation(operation_count, [&] {
        for (std::size_t n = 0; n < operation_count; ++n) {
            table.tick(instant{timeout});
        }
    });
}

double measure_contention(unsigned threads, std::size_t ids_per_thread) {
    order_table table({.max_entries = std::size_t{4} * threads * ids_per_thread});
    return ns_per_operation(ids_per_thread, [&] {
        std::vector<std::thread> workers;
        for (unsigned worker = 0; worker < threads; ++worker) {
            workers.emplace_back([&, worker] {
                for (std::size_t n = 0; n < ids_per_thread; ++n) {
                    run_order(table, {.home = {1}, .serial = worker * ids_per_thread + n}, instant{}, "");
                }
            });
        }
        std::ranges::for_each(workers, &std::thread::join);
    });
}

} // namespace berylcrank::bench
