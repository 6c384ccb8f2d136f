#include "modules/berylcrank_node/control/node_peer_service.h"

#include <utility>

namespace berylcrank {

void node_peer_service::start(const dependencies& it) {
    storage_.emplace(it);
    deps_.store(&*storage_);
}

gossip_message node_peer_service::on_gossip(const gossip_message& it) {
    const auto* components = deps_.load();
    if (components == nullptr) {
        return {};
    }
    components->peers.on_message(it, components->time.now());
    components->gossip_messages.process(it);
    return components->gossip_messages.make_message();
}

std::string node_peer_service::on_pull_state(std::uint64_t from_offset) {
    const auto* components = deps_.load();
    return components == nullptr ? std::string{} : components->config.delta_since(from_offset);
}

void node_peer_service::on_relay_order(order_request it, std::function<void(order_response)> respond) {
    const auto* components = deps_.load();
    if (components == nullptr) {
        respond({.reason = "this node is starting"});
        return;
    }
    components->orders.handle_relayed(std::move(it), std::move(respond));
}

permit_response node_peer_service::on_acquire_permit(incarnation who, std::string_view upstream,
                                                     request_class it) {
    const auto* components = deps_.load();
    if (components == nullptr) {
        return {.is_holder = false};
    }
    const auto limits = cold_limits_of(*components->config.view(), upstream);
    return components->issuer.acquire(who, upstream, it, limits, components->time.now());
}

void node_peer_service::on_release_permit(const permit_release& it) {
    if (const auto* components = deps_.load()) {
        components->issuer.release(it, cold_limits_of(*components->config.view(), it.upstream),
                                   components->time.now());
    }
}

void node_peer_service::on_report_crash(std::span<const crash_report> it) {
    (void)it;
}

cold_limits cold_limits_of(const config_view& view, std::string_view upstream) {
    const auto* it = view.find_upstream(upstream);
    const auto* service = it == nullptr ? nullptr : view.find_service(it->service);
    if (service == nullptr) {
        return {};
    }
    return {.concurrency = service->config->cold_concurrency,
            .warm_requests = service->config->warm_requests};
}

} // namespace berylcrank
