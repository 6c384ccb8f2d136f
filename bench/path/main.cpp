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

// Latency that the path through a node adds to a direct call: a relay of http_server, idempotent_flow and
// upstream_client with a fixed router, without policy, queue or permits. Direct and relayed calls are made in
// pairs by the same thread, in random order, while all threads together keep the given rate.
//
// Arguments: --seconds N (6), --callers N (8), --threads N (2, of the relay), --load F (0.5,
// share of the measured capacity), --downloads N (6), --seed N (1).

namespace berylcrank::bench {

namespace {

using steady = std::chrono::steady_clock;
using options = std::map<std::string, double>;

struct samples {
    std::vector<double> direct_us;
    std::vector<double> relayed_us;
    std::vector<double> added_us; ///< Differences within the pairs.
};

double percentile(std::vector<double>& it, double share) {
    const auto n = std::min(it.size() - 1, static_cast<std::size_t>(share * static_cast<double>(it.size())));
    std::nth_element(it.begin(), it.begin() + static_cast<std::ptrdiff_t>(n), it.end());
    return it[n];
}

void print_row(const char* name, std::vector<double>& it) {
    std::printf("  %-22s p50 %8.1f  p99 %8.1f  p99.9 %8.1f us\n", name, percentile(it, 0.5),
                percentile(it, 0.99), percentile(it, 0.999));
}

/** Calls as fast as `callers` connections allow; prints and returns the calls per second. */
double measure_capacity(const options& it, const server_process& relay) {
    std::atomic<std::uint64_t> calls{0};
    const auto cpu_before = relay.cpu_s();
    const auto start = steady::now();
    const auto end = start + std::chrono::duration_cast<steady::duration>(
                                 std::chrono::duration<double>(it.at("seconds") / 3));
    std::vector<std::thread> threads;
    for (int n = 0; n < static_cast<int>(it.at("callers")); ++n) {
        threads.emplace_back([&] {
            keep_alive_caller caller(relay.address());
            while (steady::now() < end) {
                caller.get("/lookup", lookup_bytes);
                calls.fetch_add(1, std::memory_order_relaxed);
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const double took_s = std::chrono::duration<double>(steady::now() - start).count();
    const double cpu_s = relay.cpu_s() - cpu_before;
    const auto n = static_cast<double>(calls.load());
    std::printf(
        "capacity: %.0f calls/s, relay used %.2f cores, %.0f calls/s per core, %.1f us CPU per call\n",
        n / took_s, cpu_s / took_s, n / cpu_s, cpu_s * 1e6 / n);
    return n / took_s;
}

/** Makes pairs of calls with exponential gaps of the given mean until `end`. */
samples call_in_pairs(const std::string& direct, const std::string& relayed, double gap_s,
                      steady::time_point end, std::uint64_t seed) {
    samples it;
    keep_alive_caller direct_caller(direct);
    keep_alive_caller relayed_caller(relayed);
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(1 / gap_s);
    for (auto next = steady::now(); next < end;) {
        double a = 0;
        double b = 0;
        if (random() % 2 == 0) {
            a = direct_caller.get("/lookup", lookup_bytes);
            b = relayed_caller.get("/lookup", lookup_bytes);
        } else {
            b = relayed_caller.get("/lookup", lookup_bytes);
            a = direct_caller.get("/lookup", lookup_bytes);
        }
        it.direct_us.push_back(a);
        it.relayed_us.push_back(b);
        it.added_us.push_back(b - a);
        next = std::max(
            next + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(gap(random))),
            steady::now());
        std::this_thread::sleep_until(next);
    }
    return it;
}

void measure_lookups(const options& it, const server_process& upstream, const server_process& relay,
                     double rate) {
    samples all;
    std::mutex guard;
    std::vector<std::thread> threads;
    const auto cpu_before = relay.cpu_s();
    const auto start = steady::now();
    const auto end =
        start + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(it.at("seconds")));
    for (int n = 0; n < static_cast<int>(it.at("callers")); ++n) {
        threads.emplace_back([&, n] {
            const auto part = call_in_pairs(upstream.address(), relay.address(), it.at("callers") / rate, end,
                                            static_cast<std::uint64_t>(it.at("seed")) * 1000 + n);
            const std::lock_guard hold(guard);
            all.direct_us.insert(all.direct_us.end(), part.direct_us.begin(), part.direct_us.end());
            all.relayed_us.insert(all.relayed_us.end(), part.relayed_us.begin(), part.relayed_us.end());
            all.added_us.insert(all.added_us.end(), part.added_us.begin(), part.added_us.end());
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const double took_s = std::chrono::duration<double>(steady::now() - start).count();
    const double cpu_s = relay.cpu_s() - cpu_before;
    const auto n = static_cast<double>(all.added_us.size());
    std::printf("lookups of %zu bytes: %.0f pairs, %.0f calls/s through the relay, %.2f cores\n",
                lookup_bytes, n, n / took_s, cpu_s / took_s);
    print_row("direct", all.direct_us);
    print_row("relayed", all.relayed_us);
    print_row("added within pairs", all.added_us);
    std::printf("  added at p99 (relayed minus direct): %.1f us\n",
                percentile(all.relayed_us, 0.99) - percentile(all.direct_us, 0.99));
}

void measure_downloads(const options& it, const server_process& upstream, const server_process& relay) {
    samples all;
    keep_alive_caller direct(upstream.address());
    keep_alive_caller relayed(relay.address());
    const auto cpu_before = relay.cpu_s();
    for (int n = 0; n < static_cast<int>(it.at("downloads")); ++n) {
        all.direct_us.push_back(direct.get("/download", download_bytes));
        all.relayed_us.push_back(relayed.get("/download", download_bytes));
    }
    const double cpu_s = relay.cpu_s() - cpu_before;
    const double mib = download_bytes / 1048576.0;
    std::printf(
        "downloads of %.0f MiB: direct %.0f MiB/s, relayed %.0f MiB/s (medians), %.0f MiB/s per core\n", mib,
        mib * 1e6 / percentile(all.direct_us, 0.5), mib * 1e6 / percentile(all.relayed_us, 0.5),
        mib * it.at("downloads") / cpu_s);
}

int run(int argc, char** argv) {
    options it{{"seconds", 6}, {"callers", 8}, {"threads", 2}, {"load", 0.5}, {"downloads", 6}, {"seed", 1}};
    for (int n = 1; n + 1 < argc; n += 2) {
        it.at(std::string(argv[n]).substr(2)) = std::atof(argv[n + 1]);
    }
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const server_process upstream([] { return serve_upstream(2); });
    const server_process relay(
        [&] { return serve_relay(static_cast<unsigned>(it.at("threads")), upstream.address()); });
    const auto rate = measure_capacity(it, relay);
    measure_lookups(it, upstream, relay, rate * it.at("load"));
    if (it.at("downloads") > 0) {
        measure_downloads(it, upstream, relay);
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
