#include "modules/berylcrank_config/berylcrank_config.h"
#include "modules/berylcrank_core/random/random_source.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>
#include <vector>

// Cost of the configuration state for different numbers of services and upstreams: memory, applying tickets,
// and encoding, loading and merging snapshots.

namespace berylcrank {

namespace {

/** Size of a configuration. */
struct system_size {
    std::size_t services;
    std::size_t upstreams;
};
/** The sizes to measure. The last one is the size expected in two years. */
constexpr std::array<system_size, 5> sizes{
    {{175, 1875}, {350, 3750}, {700, 7500}, {1400, 15000}, {2800, 30000}}};

constexpr std::size_t failure_domains = 27;
constexpr std::size_t objects_per_ticket = 100; ///< For the tickets that populate the state.
constexpr int timed_tickets = 400;
constexpr int snapshot_repetitions = 5; ///< The times for a snapshot are means over this many runs.
constexpr double tickets_per_day = 13000;
constexpr double seconds_per_day = 86400;

/** Results for one size. */
struct measurement {
    double bytes{0};     ///< Heap size of the state and its view.
    double ticket_us{0}; ///< Median time to apply a ticket with one upstream.
    double ticket_p99_us{0};
    double large_service_ticket_us{0}; ///< The same for the service with a tenth of all upstreams.
    double snapshot_bytes{0};
    double encode_ms{0};    ///< Encoding a snapshot.
    double load_ms{0};      ///< Decoding a snapshot and merging it into an empty state.
    double merge_ms{0};     ///< Merging a snapshot into a state with the same content.
    double ticket_bytes{0}; ///< Size of the log record of a ticket with one upstream.
};

double elapsed_us(std::chrono::steady_clock::time_point since) {
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - since).count();
}

double heap_bytes() {
    const auto usage = mallinfo2();
    return static_cast<double>(usage.uordblks + usage.hblkhd);
}

upstream_config make_upstream(std::size_t i, std::size_t services) {
    // Every tenth upstream belongs to one large service; the others are spread evenly over all services.
    const auto service = i % 10 == 0 ? 0 : i % services;
    return {.name = "worker-" + std::to_string(i) + ".region-" + std::to_string(i % 12),
            .service = "service-" + std::to_string(service),
            .failure_domain = "domain-" + std::to_string(i % failure_domains),
            .address = "10." + std::to_string(i / 65536) + "." + std::to_string(i / 256 % 256) + "." +
                       std::to_string(i % 256) + ":8080"};
}

/** Fills the state with tickets. Returns the next ticket number. */
std::uint64_t populate(config_state& state, const system_size& size) {
    std::uint64_t number = 1;
    ticket next{.number = number};
    const auto flush = [&] {
        state.apply(state.applied(), encode_ticket_record(next));
        next = ticket{.number = ++number};
    };
    for (std::size_t i = 0; i < failure_domains; ++i) {
        next.failure_domains.push_back({.name = "domain-" + std::to_string(i), .region = "region"});
    }
    flush();
    for (std::size_t i = 0; i < size.services; ++i) {
        next.services.push_back({.name = "service-" + std::to_string(i)});
        if (next.services.size() == objects_per_ticket) {
            flush();
        }
    }
    flush();
    for (std::size_t i = 0; i < size.upstreams; ++i) {
        next.upstreams.push_back(make_upstream(i, size.services));
        if (next.upstreams.size() == objects_per_ticket) {
            flush();
        }
    }
    flush();
    return number;
}

/** Applies tickets that change one upstream each. Returns the sorted times in microseconds.
    @param changes_large_service True if the upstreams belong to the large service. */
std::vector<double> time_tickets(config_state& state, const system_size& size, std::uint64_t& number,
                                 bool changes_large_service) {
    seeded_random random(number);
    std::vector<double> times;
    for (int n = 0; n < timed_tickets; ++n) {
        auto i = random.below(size.upstreams);
        i -= changes_large_service ? i % 10 : 0;
        ticket change{.number = number++};
        change.upstreams = {make_upstream(i, size.services)};
        change.upstreams[0].draining = n % 2 == 0;
        const auto record = encode_ticket_record(change);
        const auto start = std::chrono::steady_clock::now();
        state.apply(state.applied(), record);
        times.push_back(elapsed_us(start));
    }
    std::sort(times.begin(), times.end());
    return times;
}

void time_snapshot(const config_state& state, measurement& out) {
    for (int n = 0; n < snapshot_repetitions; ++n) {
        const auto encode_start = std::chrono::steady_clock::now();
        const auto encoded = encode_content(state.content());
        out.encode_ms += elapsed_us(encode_start) / 1000 / snapshot_repetitions;
        out.snapshot_bytes = static_cast<double>(encoded.size());
        config_state loaded;
        const auto load_start = std::chrono::steady_clock::now();
        const auto content = decode_content(encoded);
        loaded.merge(*content, false);
        out.load_ms += elapsed_us(load_start) / 1000 / snapshot_repetitions;
        const auto merge_start = std::chrono::steady_clock::now();
        loaded.merge(state.content(), false);
        out.merge_ms += elapsed_us(merge_start) / 1000 / snapshot_repetitions;
    }
}

measurement measure(const system_size& size) {
    measurement out;
    const auto before = heap_bytes();
    config_state state;
    auto number = populate(state, size);
    out.bytes = heap_bytes() - before;
    const auto times = time_tickets(state, size, number, false);
    out.ticket_us = times[times.size() / 2];
    out.ticket_p99_us = times[times.size() * 99 / 100];
    const auto large_service_times = time_tickets(state, size, number, true);
    out.large_service_ticket_us = large_service_times[large_service_times.size() / 2];
    time_snapshot(state, out);
    ticket change{.number = number};
    change.upstreams = {make_upstream(1, size.services)};
    out.ticket_bytes = static_cast<double>(encode_ticket_record(change).size());
    return out;
}

/** Fits a line to a field as a function of the number of upstreams, by least squares, and prints it. */
void print_fit(const char* name, const std::vector<measurement>& measurements, double measurement::*field) {
    double n = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (std::size_t i = 0; i < measurements.size(); ++i) {
        const auto x = static_cast<double>(sizes[i].upstreams);
        const auto y = measurements[i].*field;
        n += 1;
        sx += x;
        sy += y;
        sxx += x * x;
        sxy += x * y;
    }
    const auto slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
    const auto offset = (sy - slope * sx) / n;
    std::printf("fit %-18s = %14.3f + %10.6f * upstreams\n", name, offset, slope);
}

void print_results(const std::vector<measurement>& measurements) {
    std::printf("%9s %9s %10s %9s %9s %9s %10s %9s %9s %9s\n", "services", "upstreams", "heap_KiB",
                "ticket_us", "p99_us", "busy_us", "snap_KiB", "write_ms", "load_ms", "join_ms");
    for (std::size_t i = 0; i < measurements.size(); ++i) {
        const auto& row = measurements[i];
        std::printf("%9zu %9zu %10.0f %9.1f %9.1f %9.1f %10.0f %9.2f %9.2f %9.2f\n", sizes[i].services,
                    sizes[i].upstreams, row.bytes / 1024, row.ticket_us, row.ticket_p99_us,
                    row.large_service_ticket_us, row.snapshot_bytes / 1024, row.encode_ms, row.load_ms,
                    row.merge_ms);
    }
    print_fit("heap_bytes", measurements, &measurement::bytes);
    print_fit("ticket_us", measurements, &measurement::ticket_us);
    print_fit("busy_us", measurements, &measurement::large_service_ticket_us);
    print_fit("snapshot_bytes", measurements, &measurement::snapshot_bytes);
    print_fit("write_ms", measurements, &measurement::encode_ms);
    print_fit("load_ms", measurements, &measurement::load_ms);
    print_fit("join_ms", measurements, &measurement::merge_ms);
    const auto& last = measurements.back();
    std::printf(
        "at %.0f tickets per day: %.5f %% of a core, %.1f bytes/s of ticket records (%.0f bytes each)\n",
        tickets_per_day, last.large_service_ticket_us * tickets_per_day / seconds_per_day / 1e6 * 100,
        last.ticket_bytes * tickets_per_day / seconds_per_day, last.ticket_bytes);
    std::printf("with a snapshot every 1800 s: each node reads %.0f bytes/s, before base64\n",
                last.snapshot_bytes / 1800);
}

} // namespace

} // namespace berylcrank

int main() {
    std::vector<berylcrank::measurement> measurements;
    measurements.reserve(std::size(berylcrank::sizes));
    for (const auto& size : berylcrank::sizes) {
        measurements.push_back(berylcrank::measure(size));
    }
    berylcrank::print_results(measurements);
    return 0;
}
