#include "modules/berylcrank_config/berylcrank_config.h"
#include "modules/berylcrank_core/random/random_source.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <string>
#include <vector>

namespace berylcrank {

namespace {

/** Sizes that are measured; the last one is the two-year size. */
struct system_size {
    std::size_t services;
    std::size_t upstreams;
};
constexpr std::array<system_size, 5> sizes{
    {{175, 1875}, {350, 3750}, {700, 7500}, {1400, 15000}, {2800, 30000}}};

constexpr std::size_t failure_domains = 27;
constexpr std::size_t objects_per_ticket = 100; ///< Of the tickets that set the system up.
constexpr int small_tickets = 400;
constexpr int copies = 5; ///< Joins and starts are averaged over so many.
constexpr double tickets_per_day = 13000;
constexpr double seconds_per_day = 86400;

/** What one size costs. */
struct measured {
    double bytes{0};     ///< Heap of the state and its view.
    double ticket_us{0}; ///< Applying a ticket of one upstream, median.
    double ticket_p99_us{0};
    double busy_service_us{0}; ///< The same for a service with a tenth of all upstreams.
    double snapshot_bytes{0};
    double write_ms{0};     ///< Encoding a snapshot.
    double start_ms{0};     ///< Decoding and joining it into an empty state.
    double join_ms{0};      ///< Joining it into the same state.
    double ticket_bytes{0}; ///< Log record of a ticket of one upstream.
};

double elapsed_us(std::chrono::steady_clock::time_point since) {
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - since).count();
}

double heap_bytes() {
    const auto it = mallinfo2();
    return static_cast<double>(it.uordblks + it.hblkhd);
}

upstream_config make_upstream(std::size_t i, std::size_t services) {
    // Every tenth upstream belongs to one large service; the rest is spread evenly.
    const auto service = i % 10 == 0 ? 0 : i % services;
    return {.name = "worker-" + std::to_string(i) + ".region-" + std::to_string(i % 12),
            .service = "service-" + std::to_string(service),
            .failure_domain = "domain-" + std::to_string(i % failure_domains),
            .address = "10." + std::to_string(i / 65536) + "." + std::to_string(i / 256 % 256) + "." +
                       std::to_string(i % 256) + ":8080"};
}

/** Applies tickets that set the system up; returns the next ticket number. */
std::uint64_t set_up(config_state& it, const system_size& size) {
    std::uint64_t number = 1;
    ticket next{.number = number};
    const auto flush = [&] {
        it.apply(it.applied(), encode_ticket_record(next));
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

/** Times of tickets that change one upstream each, sorted, in us. */
std::vector<double> time_tickets(config_state& it, const system_size& size, std::uint64_t& number,
                                 bool busy) {
    seeded_random random(number);
    std::vector<double> times;
    for (int n = 0; n < small_tickets; ++n) {
        auto i = random.below(size.upstreams);
        i -= busy ? i % 10 : 0;
        ticket change{.number = number++};
        change.upstreams = {make_upstream(i, size.services)};
        change.upstreams[0].draining = n % 2 == 0;
        const auto record = encode_ticket_record(change);
        const auto start = std::chrono::steady_clock::now();
        it.apply(it.applied(), record);
        times.push_back(elapsed_us(start));
    }
    std::sort(times.begin(), times.end());
    return times;
}

void time_snapshot(const config_state& it, measured& out) {
    for (int n = 0; n < copies; ++n) {
        const auto write_start = std::chrono::steady_clock::now();
        const auto encoded = encode_content(it.content());
        out.write_ms += elapsed_us(write_start) / 1000 / copies;
        out.snapshot_bytes = static_cast<double>(encoded.size());
        config_state fresh;
        const auto start = std::chrono::steady_clock::now();
        const auto content = decode_content(encoded);
        fresh.merge(*content, false);
        out.start_ms += elapsed_us(start) / 1000 / copies;
        const auto join_start = std::chrono::steady_clock::now();
        fresh.merge(it.content(), false);
        out.join_ms += elapsed_us(join_start) / 1000 / copies;
    }
}

measured measure(const system_size& size) {
    measured out;
    const auto before = heap_bytes();
    config_state it;
    auto number = set_up(it, size);
    out.bytes = heap_bytes() - before;
    const auto times = time_tickets(it, size, number, false);
    out.ticket_us = times[times.size() / 2];
    out.ticket_p99_us = times[times.size() * 99 / 100];
    const auto busy = time_tickets(it, size, number, true);
    out.busy_service_us = busy[busy.size() / 2];
    time_snapshot(it, out);
    ticket change{.number = number};
    change.upstreams = {make_upstream(1, size.services)};
    out.ticket_bytes = static_cast<double>(encode_ticket_record(change).size());
    return out;
}

/** Least-squares line over the upstream count. */
void print_fit(const char* name, const std::vector<measured>& all, double measured::*field) {
    double n = 0;
    double sx = 0;
    double sy = 0;
    double sxx = 0;
    double sxy = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        const auto x = static_cast<double>(sizes[i].upstreams);
        const auto y = all[i].*field;
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

void print_table(const std::vector<measured>& all) {
    std::printf("%9s %9s %10s %9s %9s %9s %10s %9s %9s %9s\n", "services", "upstreams", "heap_KiB",
                "ticket_us", "p99_us", "busy_us", "snap_KiB", "write_ms", "start_ms", "join_ms");
    for (std::size_t i = 0; i < all.size(); ++i) {
        const auto& it = all[i];
        std::printf("%9zu %9zu %10.0f %9.1f %9.1f %9.1f %10.0f %9.2f %9.2f %9.2f\n", sizes[i].services,
                    sizes[i].upstreams, it.bytes / 1024, it.ticket_us, it.ticket_p99_us, it.busy_service_us,
                    it.snapshot_bytes / 1024, it.write_ms, it.start_ms, it.join_ms);
    }
    print_fit("heap_bytes", all, &measured::bytes);
    print_fit("ticket_us", all, &measured::ticket_us);
    print_fit("busy_us", all, &measured::busy_service_us);
    print_fit("snapshot_bytes", all, &measured::snapshot_bytes);
    print_fit("write_ms", all, &measured::write_ms);
    print_fit("start_ms", all, &measured::start_ms);
    print_fit("join_ms", all, &measured::join_ms);
    const auto& last = all.back();
    std::printf(
        "at %.0f tickets a day: %.5f %% of a core, %.1f bytes/s of ticket records (%.0f bytes each)\n",
        tickets_per_day, last.busy_service_us * tickets_per_day / seconds_per_day / 1e6 * 100,
        last.ticket_bytes * tickets_per_day / seconds_per_day, last.ticket_bytes);
    std::printf("a snapshot every 1800 s: %.0f bytes/s read by each node, before base64\n",
                last.snapshot_bytes / 1800);
}

} // namespace

} // namespace berylcrank

int main() {
    std::vector<berylcrank::measured> all;
    all.reserve(std::size(berylcrank::sizes));
    for (const auto& size : berylcrank::sizes) {
        all.push_back(berylcrank::measure(size));
    }
    berylcrank::print_table(all);
    return 0;
}
