#include "bench/once/table_cost.h"

#include "modules/berylcrank_once/berylcrank_once.h"

#include <algorithm>
#include <chrono>
#include <malloc.h>
#include <thread>
#include <vector>

namespace berylcrank::bench {

namespace {

constexpr std::size_t operations = 20000;
constexpr millis lifetime{600000};
constexpr millis deadline{2000};

double heap_bytes() {
    const auto it = ::mallinfo2();
    return static_cast<double>(it.uordblks + it.hblkhd);
}

/** Nanoseconds for each of `n` repetitions that `work` makes. */
template <typename Work>
double time_each(std::size_t n, Work work) {
    const auto start = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
    return took.count() / static_cast<double>(n);
}

/** Ids minted evenly over the lifetime, as a steady rate of orders gives. */
request_id id_at(std::size_t n, std::size_t of) {
    const auto minted = static_cast<std::int64_t>(n) * lifetime.count() / static_cast<std::int64_t>(of);
    return {.home = {1}, .minted = instant{millis{minted}}, .serial = n, .number = 1};
}

void run_order(order_table& table, const request_id& id, instant now, const std::string& body) {
    table.admit(id, {.low = id.serial, .high = 1}, now + deadline, now, [](const shared_response&) {});
    if (const auto attempt = table.begin_dispatch(id, now)) {
        table.finish(id, *attempt, {.verdict = run_verdict::ran, .status = 200, .body = body});
    }
}

} // namespace

table_cost measure_table(std::size_t ids, std::size_t body_bytes) {
    table_cost out;
    const std::size_t ticks = std::max<std::size_t>(ids / 600, 1); // One each second.
    const auto before = heap_bytes();
    order_table table(
        {.max_entries = 4 * (ids + operations), .max_bytes = std::size_t{1} << 34U, .lifetime = lifetime});
    const std::string body(body_bytes, 'x');
    for (std::size_t n = 0; n < ids; ++n) {
        const auto id = id_at(n, ids);
        run_order(table, id, id.minted, body);
        if (n % ticks == 0) {
            table.tick(id.minted);
        }
    }
    out.bytes = heap_bytes() - before;
    const instant full{lifetime - millis{1}};
    out.resend_ns = time_each(operations, [&] {
        for (std::size_t n = 0; n < operations; ++n) {
            const auto id = id_at(n * 7919 % ids, ids);
            table.admit(id, {.low = id.serial, .high = 1}, instant::never(), full,
                        [](const shared_response&) {});
        }
    });
    out.run_ns = time_each(operations, [&] {
        for (std::size_t n = 0; n < operations; ++n) {
            run_order(table, {.home = {1}, .minted = full, .serial = ids + n}, full, body);
        }
    });
    out.expire_ns = time_each(ids, [&] {
        for (millis at{0}; at < lifetime; at += millis{1000}) {
            table.tick(instant{lifetime + at});
        }
    });
    return out;
}

double measure_idle_tick(std::size_t ids) {
    order_table table({.max_entries = 4 * ids, .lifetime = lifetime});
    for (std::size_t n = 0; n < ids; ++n) {
        run_order(table, {.home = {1}, .serial = n}, instant{}, "");
    }
    table.tick(instant{deadline});
    return time_each(operations, [&] {
        for (std::size_t n = 0; n < operations; ++n) {
            table.tick(instant{deadline});
        }
    });
}

double measure_contended(unsigned threads, std::size_t ids_per_thread) {
    order_table table({.max_entries = std::size_t{4} * threads * ids_per_thread});
    return time_each(ids_per_thread, [&] {
        std::vector<std::thread> all;
        for (unsigned t = 0; t < threads; ++t) {
            all.emplace_back([&, t] {
                for (std::size_t n = 0; n < ids_per_thread; ++n) {
                    run_order(table, {.home = {1}, .serial = t * ids_per_thread + n}, instant{}, "");
                }
            });
        }
        std::ranges::for_each(all, &std::thread::join);
    });
}

} // namespace berylcrank::bench
