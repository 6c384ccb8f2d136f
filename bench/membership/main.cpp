// Cost of gossip for different numbers of nodes, propagation of membership changes, and cold start of a pool
// of upstreams. The clock is virtual; encoding, decisions and the single call on loopback are real.
#include "bench/membership/cold_start_simulation.h"
#include "bench/membership/gossip_simulation.h"
#include "bench/membership/wire_cost.h"

#include <cstdio>

namespace berylcrank::bench {

namespace {

constexpr double loss = 0.01;
constexpr int max_rounds = 60;

/** Runs rounds until at least `fraction` of the nodes see `node` in one of `states`. Returns the simulated
    time in seconds, or -1 if that takes more than `max_rounds` rounds. */
double seconds_until(gossip_simulation& simulation, std::size_t node, double fraction,
                     std::initializer_list<peer_state> states) {
    for (int n = 0; n <= max_rounds; ++n) {
        if (simulation.fraction_in_state(node, states) >= fraction) {
            return gossip_simulation::interval.value() / 1000.0 * n;
        }
        simulation.run_round();
    }
    return -1;
}

void print_gossip(const wire_cost& wire) {
    const auto overhead = (wire.call_bytes - 2 * wire.message_bytes) / 2;
    std::printf("gossip per node: interval 300 ms, fan-out 3, 1 %% of calls lost\n");
    std::printf("  %6s %10s %10s %9s %9s %9s\n", "nodes", "msg bytes", "sent B/s", "recv B/s", "cpu %",
                "silent %");
    for (const std::size_t nodes : {15U, 60U, 300U, 1000U}) {
        gossip_simulation simulation(nodes, loss, 1);
        for (int i = 0; i < 50; ++i) {
            simulation.run_round();
        }
        const auto cost = simulation.measure(10);
        const auto rate = (cost.message_bytes + overhead) * cost.messages_per_s;
        std::printf("  %6zu %10.0f %10.0f %9.0f %9.3f %9.3f\n", nodes, cost.message_bytes, rate, rate,
                    cost.cpu_percent, 100 * cost.silent_fraction);
    }
}

void print_propagation() {
    std::printf("propagation of membership changes, seconds until 50 %% / 100 %% of the nodes have them\n");
    std::printf("  %6s %16s %16s %16s\n", "nodes", "new node", "silent node", "refused port");
    for (const std::size_t nodes : {15U, 60U, 300U}) {
        gossip_simulation joining(nodes, loss, 1);
        for (int i = 0; i < 50; ++i) {
            joining.run_round();
        }
        double seconds[3][2];
        const double fractions[2] = {0.5, 1.0};
        joining.start_unlisted_node();
        for (int k = 0; k < 2; ++k) {
            seconds[0][k] = seconds_until(joining, nodes, fractions[k], {peer_state::alive}) +
                            (k == 0 ? 0 : seconds[0][0]);
        }
        gossip_simulation stopping(nodes, loss, 2);
        for (int i = 0; i < 50; ++i) {
            stopping.run_round();
        }
        stopping.stop_node(1, false);
        for (int k = 0; k < 2; ++k) {
            seconds[1][k] = seconds_until(stopping, 1, fractions[k], {peer_state::silent, peer_state::gone}) +
                            (k == 0 ? 0 : seconds[1][0]);
        }
        stopping.stop_node(2, true);
        for (int k = 0; k < 2; ++k) {
            seconds[2][k] =
                seconds_until(stopping, 2, fractions[k], {peer_state::gone}) + (k == 0 ? 0 : seconds[2][0]);
        }
        std::printf("  %6zu %7.1f /%7.1f %7.1f /%7.1f %7.1f /%7.1f\n", nodes, seconds[0][0], seconds[0][1],
                    seconds[1][0], seconds[1][1], seconds[2][0], seconds[2][1]);
    }
}

void print_cold_start() {
    std::printf("cold start of 15 upstreams behind 15 nodes, 20 successful responses each; times in ms\n");
    std::printf("  %5s %8s %14s %10s %10s %12s %10s %15s\n", "limit", "service", "first response",
                "half warm", "all warm", "known by all", "in flight", "permit requests");
    for (const std::uint32_t limit : {1U, 2U, 4U}) {
        for (const int service_ms : {5, 20, 100}) {
            cold_start_simulation simulation(
                {.limits = {.concurrency = limit, .warm_requests = 20}, .service_time = millis{service_ms}});
            const auto outcome = simulation.run();
            std::printf("  %5u %8d %14.1f %10.0f %10.0f %12.0f %10u %15llu\n", limit, service_ms,
                        outcome.first_response.value(), outcome.half_warm.value(), outcome.all_warm.value(),
                        outcome.known_by_all.value(), outcome.max_in_flight,
                        static_cast<unsigned long long>(outcome.permit_requests));
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
        "one gossip call on loopback: %.0f bytes in both directions, of which 2 x %.0f message; %.1f us CPU "
        "on both sides together\n",
        wire.call_bytes, wire.message_bytes, wire.cpu_us);
    print_cold_start();
    print_gossip(wire);
    print_propagation();
    return 0;
}
