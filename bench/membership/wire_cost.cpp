#include "bench/membership/wire_cost.h"

#include "modules/berylcrank_rpc/peer/peer_client.h"
#include "modules/berylcrank_rpc/peer/peer_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstdio>
#include <ctime>
#include <future>

namespace berylcrank::bench {

namespace {

gossip_message make_message() {
    gossip_message out{.sender = {.vm = "bog-norte-entry-17",
                                  .run = incarnation{0x123456789abcdef},
                                  .failure_domain = "bog-norte",
                                  .http_address = "10.0.12.17:8080",
                                  .rpc_address = "10.0.12.17:8081"}};
    for (std::uint64_t i = 1; i <= 4; ++i) {
        out.peers.push_back({.run = incarnation{i}, .heartbeat_age = millis{100}});
    }
    return out;
}

class test_peer_service final : public peer_service {
public:
    gossip_message on_gossip(const gossip_message&) override { return make_message(); }
    std::string on_pull_state(std::uint64_t) override { return {}; }
    void on_relay_order(order_request, std::function<void(order_response)> respond) override { respond({}); }
    permit_response on_acquire_permit(incarnation, std::string_view, request_class) override { return {}; }
    void on_release_permit(const permit_release&) override {}
    void on_report_crash(std::span<const crash_report>) override {}
};

double process_cpu_us() {
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) * 1e-3;
}

} // namespace

wire_cost measure_wire(int calls) {
    test_peer_service service;
    std::string error;
    const auto server = make_peer_endpoint({}, service, error);
    const auto client = make_peer_endpoint({}, service, error);
    if (!server || !client) {
        std::fprintf(stderr, "%s\n", error.c_str());
        return {};
    }
    const auto call = [&] {
        std::promise<peer_failure> done;
        client->gossip(server->address(), make_message(), millis{2000},
                       [&](peer_failure failure, const gossip_message&) { done.set_value(failure); });
        return done.get_future().get();
    };
    call(); // Opens the connection.
    const auto bytes_before = client->traffic_bytes();
    const auto cpu_before = process_cpu_us();
    for (int i = 0; i < calls; ++i) {
        if (call() != peer_failure::none) {
            std::fprintf(stderr, "gossip call %d failed\n", i);
        }
    }
    wire_cost out{.call_bytes = static_cast<double>(client->traffic_bytes() - bytes_before) / calls,
                  .cpu_us = (process_cpu_us() - cpu_before) / calls};
    capnp::MallocMessageBuilder message;
    encode(make_message(), message.initRoot<schema::Gossip>());
    out.message_bytes =
        static_cast<double>(capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word));
    return out;
}

} // namespace berylcrank::bench
