// Cost of gossip against the number of nodes, spread of membership news, and cold start of a whole pool.
// Virtual clock; encoding, decisions and the single call on loopback are real.
#include "bench/membership/cold_start_simulation.h"
#include "bench/membership/gossip_simulation.h"
#include "bench/membership/wire_cost.h"

#include <cstdio>

namespace berylcrank::bench {

namespace {

constexpr double loss = 0.01;
constexpr int most_rounds = 60;

/** Seconds until at least `share` of the nodes hold `node` in one of `states`; negative if they never do. */
double seconds_until(gossip_simulation& it, std::size_t node, double share,
                     std::initializer_list<peer_state> states) {
    for (int n = 0; n <= most_rounds; ++n) {
        if (it.share_with(node, states) >= share) {
            return gossip_simulation::interval.value() / 1000.0 * n;
        }
        it.round();
    }
    return -1;
}

void print_gossip(const wire_cost& wire) {
    const auto overhead = (wire.call_bytes - 2 * wire.message_bytes) / 2;
    std::printf("gossip: interval 300 ms, fan-out 3, 1 %% of calls lost; bytes sent and received\n");
    std::printf("  %6s %10s %10s %9s %9s %9s\n", "nodes", "msg bytes", "sent B/s", "recv B/s", "cpu %",
                "silent %");
    for (const std::size_t nodes : {15U, 60U, 300U, 1000U}) {
        gossip_simulation cluster(nodes, loss, 1);
        for (int i = 0; i < 50; ++i) {
            cluster.round();
        }
        const auto it = cluster.measure(10);
        const auto rate = (it.message_bytes + overhead) * it.messages_per_s;
        std::printf("  %6zu %10.0f %10.0f %9.0f %9.3f %9.3f\n", nodes, it.message_bytes, rate, rate,
                    it.cpu_percent, 100 * it.silent_share);
    }
}

void print_spread() {
    std::printf("spread of news, seconds until 50 %% / all nodes hold it\n");
    std::printf("  %6s %16s %16s %16s\n", "nodes", "new node known", "silent vm", "refused port");
    for (const std::size_t nodes : {15U, 60U, 300U}) {
        gossip_simulation cluster(nodes, loss, 1);
        for (int i = 0; i < 50; ++i) {
            cluster.round();
        }
        double at[3][2];
        const double shares[2] = {0.5, 1.0};
        cluster.join();
        for (int k = 0; k < 2; ++k) {
            at[0][k] =
                seconds_until(cluster, nodes, shares[k], {peer_state::alive}) + (k == 0 ? 0 : at[0][0]);
        }
        gossip_simulation other(nodes, loss, 2);
        for (int i = 0; i < 50; ++i) {
            other.round();
        }
        other.kill(1, false);
        for (int k = 0; k < 2; ++k) {
            at[1][k] = seconds_until(other, 1, shares[k], {peer_state::silent, peer_state::gone}) +
                       (k == 0 ? 0 : at[1][0]);
        }
        other.kill(2, true);
        for (int k = 0; k < 2; ++k) {
            at[2][k] = seconds_until(other, 2, shares[k], {peer_state::gone}) + (k == 0 ? 0 : at[2][0]);
        }
        std::printf("  %6zu %7.1f /%7.1f %7.1f /%7.1f %7.1f /%7.1f\n", nodes, at[0][0], at[0][1], at[1][0],
                    at[1][1], at[2][0], at[2][1]);
    }
}

void print_cold() {
    std::printf("cold start of 15 upstreams behind 15 nodes, 20 good answers each, ms\n");
    std::printf("  %5s %8s %12s %10s %10s %10s %10s %9s\n", "limit", "service", "first answer", "half warm",
                "all warm", "all know", "in flight", "asks");
    for (const std::uint32_t limit : {1U, 2U, 4U}) {
        for (const int service : {5, 20, 100}) {
            cold_start_simulation pool(
                {.limits = {.concurrency = limit, .warm_requests = 20}, .service = millis{service}});
            const auto it = pool.run();
            std::printf("  %5u %8d %12.1f %10.0f %10.0f %10.0f %10u %9llu\n", limit, service,
                        it.first_answer.value(), it.half_warm.value(), it.all_warm.value(),
                        it.all_known.value(), it.most_in_flight, static_cast<unsigned long long>(it.asks));
        }
    }
}

} // namespace

} // namespace berylcrank::bench

int main() {
    using namespace berylcrank::bench;
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const auto wire = measure_wire(2000);
    std::printf(
        "one gossip call on loopback: %.0f bytes both ways, of which 2 x %.0f message, %.1f us CPU of "
        "both sides\n",
        wire.call_bytes, wire.message_bytes, wire.cpu_us);
    print_cold();
    print_gossip(wire);
    print_spread();
    return 0;
}
