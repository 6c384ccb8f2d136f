#pragma once

#include "modules/berylcrank_rpc/berylcrank_rpc.h"

#include <chrono>
#include <doctest/doctest.h>
#include <future>
#include <mutex>

namespace berylcrank::testing {

/** Time limit for a response. Only a failure takes this long. */
constexpr std::chrono::seconds wait_limit{20};

/** Responds to every call with values derived from the request. Keeps relayed orders with method WAIT
    pending. */
class echo_service final : public peer_service {
public:
    gossip_message on_gossip(const gossip_message& message) override { return message; }
    std::string on_pull_state(std::uint64_t from_offset) override { return std::string(from_offset, '\0'); }
    void on_relay_order(order_request order, std::function<void(order_response)> respond) override {
        if (order.method == "WAIT") {
            waiting.set_value(std::move(respond));
            return;
        }
        respond({.verdict = run_verdict::ran,
                 .status = 200,
                 .headers = order.headers,
                 .body = order.body,
                 .reason = order.id,
                 .id_prefix = order.path});
    }
    permit_response on_acquire_permit(incarnation requester, std::string_view upstream,
                                      request_class kind) override {
        return {.granted = kind == request_class::order,
                .permit = requester.value,
                .expires_after = millis{static_cast<std::int64_t>(upstream.size())},
                .retry_after = millis{7},
                .is_holder = false};
    }
    void on_release_permit(const permit_release& release) override { released = release; }
    void on_report_crash(std::span<const crash_report> reports) override {
        crashes.assign(reports.begin(), reports.end());
    }

    std::promise<std::function<void(order_response)>> waiting;
    permit_release released;
    std::vector<crash_report> crashes;
};

template <typename Response>
struct peer_result {
    peer_failure failure{peer_failure::none};
    Response response{};
};

/** Provides the callback of one call and waits for its result. */
template <typename Response>
struct pending_call {
    std::shared_ptr<std::promise<peer_result<Response>>> promise =
        std::make_shared<std::promise<peer_result<Response>>>();

    peer_client::response_callback<Response> callback() {
        return [pending = promise](peer_failure failure, Response response) {
            pending->set_value({failure, std::move(response)});
        };
    }

    peer_result<Response> wait() {
        auto result = promise->get_future();
        REQUIRE(result.wait_for(wait_limit) == std::future_status::ready);
        return result.get();
    }
};

/** A server and a client endpoint on ports chosen by the kernel. */
struct peer_fixture {
    echo_service service;
    echo_service unused_service;
    std::string error;
    peer_endpoint::options options{.message_bytes = 1048576};
    std::unique_ptr<peer_endpoint> server = make_peer_endpoint(options, service, error);
    std::unique_ptr<peer_endpoint> client = make_peer_endpoint(options, unused_service, error);

    peer_fixture() { REQUIRE(error.empty()); }

    peer_result<order_response> relay(const order_request& order, millis timeout = millis{10000}) {
        pending_call<order_response> call;
        client->relay_order(server->address(), order, timeout, call.callback());
        return call.wait();
    }
};

} // namespace berylcrank::testing
