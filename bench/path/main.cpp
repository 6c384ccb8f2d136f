#include "bench/path/keep_alive_caller.h"
#include "bench/path/server_process.h"
#include "bench/path/servers.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

// Measures the latency that a node adds compared with a direct call to an upstream. The node is a relay that
// consists of http_server, idempotent_flow and upstream_client with a fixed router; it has no policy, queue
// or permits. Each caller has its own thread and makes pairs of a direct and a relayed call in random order.
// All callers together call at the rate that --load sets.
//
// Arguments with defaults: --seconds N (6; duration of the paired calls; a third of it for the capacity),
// --callers N (8), --threads N (2; threads of the relay), --load F (0.5; share of the measured capacity),
// --downloads N (6), --seed N (1).

namespace berylcrank::bench {

namespace {

using clock_type = std::chrono::steady_clock;
using options = std::map<std::string, double>;

struct samples {
    std::vector<double> direct_us;
    std::vector<double> relayed_us;
    std::vector<double> added_us; ///< Relayed minus direct latency within each pair.
};

double percentile(std::vector<double>& values, double share) {
    const auto index =
        std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

void print_row(const char* name, std::vector<double>& values) {
    std::printf("  %-22s p50 %8.1f  p99 %8.1f  p99.9 %8.1f us\n", name, percentile(values, 0.5),
                percentile(values, 0.99), percentile(values, 0.999));
}

/** Calls the relay without pauses from all callers, each on its own connection. Prints and returns the calls
    per second. */
double measure_capacity(const options& opts, const server_process& relay) {
    std::atomic<std::uint64_t> calls{0};
    const auto cpu_before = relay.cpu_s();
    const auto start = clock_type::now();
    const auto end = start + std::chrono::duration_cast<clock_type::duration>(
                                 std::chrono::duration<double>(opts.at("seconds") / 3));
    std::vector<std::thread> threads;
    for (int n = 0; n < static_cast<int>(opts.at("callers")); ++n) {
        threads.emplace_back([&] {
            keep_alive_caller caller(relay.address());
            while (clock_type::now() < end) {
                caller.get("/lookup", lookup_bytes);
                calls.fetch_add(1, std::memory_order_relaxed);
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const double elapsed_s = std::chrono::duration<double>(clock_type::now() - start).count();
    const double cpu_s = relay.cpu_s() - cpu_before;
    const auto count = static_cast<double>(calls.load());
    std::printf(
        "capacity: %.0f calls/s, relay used %.2f cores, %.0f calls/s per core, %.1f us CPU per call\n",
        count / elapsed_s, cpu_s / elapsed_s, count / cpu_s, cpu_s * 1e6 / count);
    return count / elapsed_s;
}

/** Makes pairs of a direct and a relayed call until `end`, with exponentially distributed intervals.
    A pair that is due while the previous one runs starts when that one ends.
    @param mean_interval_s Mean interval between the times at which pairs are due, in seconds. */
samples call_in_pairs(const std::string& direct, const std::string& relayed, double mean_interval_s,
                      clock_type::time_point end, std::uint64_t seed) {
    samples result;
    keep_alive_caller direct_caller(direct);
    keep_alive_caller relayed_caller(relayed);
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> interval(1 / mean_interval_s);
    for (auto next = clock_type::now(); next < end;) {
        double direct_us = 0;
        double relayed_us = 0;
        if (random() % 2 == 0) {
            direct_us = direct_caller.get("/lookup", lookup_bytes);
            relayed_us = relayed_caller.get("/lookup", lookup_bytes);
        } else {
            relayed_us = relayed_caller.get("/lookup", lookup_bytes);
            direct_us = direct_caller.get("/lookup", lookup_bytes);
        }
        result.direct_us.push_back(direct_us);
        result.relayed_us.push_back(relayed_us);
        result.added_us.push_back(relayed_us - direct_us);
        next = std::max(next + std::chrono::duration_cast<clock_type::duration>(
                                   std::chrono::duration<double>(interval(random))),
                        clock_type::now());
        std::this_thread::sleep_until(next);
    }
    return result;
}

void measure_lookups(const options& opts, const server_process& upstream, const server_process& relay,
                     double rate) {
    samples all;
    std::mutex results_mutex;
    std::vector<std::thread> threads;
    const auto cpu_before = relay.cpu_s();
    const auto start = clock_type::now();
    const auto end = start + std::chrono::duration_cast<clock_type::duration>(
                                 std::chrono::duration<double>(opts.at("seconds")));
    for (int n = 0; n < static_cast<int>(opts.at("callers")); ++n) {
        threads.emplace_back([&, n] {
            const auto results = call_in_pairs(upstream.address(), relay.address(), opts.at("callers") / rate,
                                               end, static_cast<std::uint64_t>(opts.at("seed")) * 1000 + n);
            const std::lock_guard lock(results_mutex);
            all.direct_us.insert(all.direct_us.end(), results.direct_us.begin(), results.direct_us.end());
            all.relayed_us.insert(all.relayed_us.end(), results.relayed_us.begin(), results.relayed_us.end());
            all.added_us.insert(all.added_us.end(), results.added_us.begin(), results.added_us.end());
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const double elapsed_s = std::chrono::duration<double>(clock_type::now() - start).count();
    const double cpu_s = relay.cpu_s() - cpu_before;
    const auto pairs = static_cast<double>(all.added_us.size());
    std::printf(
        "lookups of %zu bytes: %.0f pairs, %.0f calls/s through the relay, %.2f cores used by the relay\n",
        lookup_bytes, pairs, pairs / elapsed_s, cpu_s / elapsed_s);
    print_row("direct", all.direct_us);
    print_row("relayed", all.relayed_us);
    print_row("added within pairs", all.added_us);
    std::printf("  added at p99 (relayed minus direct): %.1f us\n",
                percentile(all.relayed_us, 0.99) - percentile(all.direct_us, 0.99));
}

void measure_downloads(const options& opts, const server_process& upstream, const server_process& relay) {
    samples all;
    keep_alive_caller direct(upstream.address());
    keep_alive_caller relayed(relay.address());
    const auto cpu_before = relay.cpu_s();
    for (int n = 0; n < static_cast<int>(opts.at("downloads")); ++n) {
        all.direct_us.push_back(direct.get("/download", download_bytes));
        all.relayed_us.push_back(relayed.get("/download", download_bytes));
    }
    const double cpu_s = relay.cpu_s() - cpu_before;
    const double mib = download_bytes / 1048576.0;
    std::printf("downloads of %.0f MiB: median direct %.0f MiB/s, median relayed %.0f MiB/s, %.0f MiB/s per "
                "core of the relay\n",
                mib, mib * 1e6 / percentile(all.direct_us, 0.5), mib * 1e6 / percentile(all.relayed_us, 0.5),
                mib * opts.at("downloads") / cpu_s);
}

int run(int argc, char** argv) {
    options opts{{"seconds", 6}, {"callers", 8},   {"threads", 2},
                 {"load", 0.5},  {"downloads", 6}, {"seed", 1}};
    for (int n = 1; n + 1 < argc; n += 2) {
        opts.at(std::string(argv[n]).substr(2)) = std::atof(argv[n + 1]);
    }
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const server_process upstream([] { return start_upstream(2); });
    const server_process relay(
        [&] { return start_relay(static_cast<unsigned>(opts.at("threads")), upstream.address()); });
    const auto rate = measure_capacity(opts, relay);
    measure_lookups(opts, upstream, relay, rate * opts.at("load"));
    if (opts.at("downloads") > 0) {
        measure_downloads(opts, upstream, relay);
    }
    return 0;
}

} // namespace

} // namespace berylcrank::bench

int main(int argc, char** argv) {
    try {
        return berylcrank::bench::run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 1;
    }
}
