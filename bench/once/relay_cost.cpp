#include "bench/once/relay_cost.h"

#include "bench/once/linear_fit.h"
#include "modules/berylcrank_rpc/berylcrank_rpc.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <vector>

namespace berylcrank::bench {

namespace {

class echo_service final : public peer_service {
public:
    gossip_message on_gossip(const gossip_message& message) override { return message; }
    std::string on_pull_state(std::uint64_t /*from_offset*/) override { return {}; }
    void on_relay_order(order_request order, std::function<void(order_response)> respond) override {
        respond({.verdict = run_verdict::ran, .status = 200, .body = std::move(order.body)});
    }
    permit_response on_acquire_permit(incarnation /*requester*/, std::string_view /*upstream*/,
                                      request_class /*cls*/) override {
        return {};
    }
    void on_release_permit(const permit_release& /*released*/) override {}
    void on_report_crash(std::span<const crash_report> /*reports*/) override {}
};

void relay_once(peer_client& client, const std::string& address, const order_request& order) {
    std::promise<peer_failure> done;
    client.relay_order(
        address, order, millis{10000},
        [&](peer_failure failure, const order_response& /*response*/) { done.set_value(failure); });
    if (done.get_future().get() != peer_failure::none) {
        std::fputs("relaying an order failed\n", stderr);
        std::exit(EXIT_FAILURE);
    }
}

} // namespace

relay_cost measure_relay(std::size_t body_bytes, std::size_t calls) {
    echo_service service;
    std::string error;
    const auto server = make_peer_endpoint({}, service, error);
    const auto client = make_peer_endpoint({}, service, error);
    const order_request order{.id = "0123456789abcdef-12345-678-0123456789abcdef.1",
                              .service = "pedidos",
                              .method = "POST",
                              .path = "/s/pedidos/reservas",
                              .body = std::string(body_bytes, 'x')};
    relay_once(*client, server->address(), order); // Opens the connection.
    const auto bytes_before = client->traffic_bytes();
    std::vector<double> latencies_us;
    for (std::size_t n = 0; n < calls; ++n) {
        const auto start = std::chrono::steady_clock::now();
        relay_once(*client, server->address(), order);
        latencies_us.push_back(
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count());
    }
    const auto bytes_per_call =
        static_cast<double>(client->traffic_bytes() - bytes_before) / static_cast<double>(calls);
    return {.p50_us = percentile(latencies_us, 0.5),
            .p99_us = percentile(latencies_us, 0.99),
            .bytes = bytes_per_call};
}

} // namespace berylcrank::bench
