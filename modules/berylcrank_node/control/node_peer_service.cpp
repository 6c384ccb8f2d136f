#include "modules/berylcrank_node/control/node_peer_service.h"

#include <utility>

namespace berylcrank {

void node_peer_service::start(const parts& it) {
    storage_.emplace(it);
    parts_.store(&*storage_);
}

gossip_message node_peer_service::on_gossip(const gossip_message& it) {
    const auto* serving = parts_.load();
    if (serving == nullptr) {
        return {};
    }
    serving->peers.on_message(it, serving->time.now());
    serving->news.take(it);
    return serving->news.make();
}

std::string node_peer_service::on_pull_state(std::uint64_t from_offset) {
    const auto* serving = parts_.load();
    return serving == nullptr ? std::string{} : serving->config.delta_since(from_offset);
}

void node_peer_service::on_relay_order(order_request it, std::function<void(order_response)> reply) {
    const auto* serving = parts_.load();
    if (serving == nullptr) {
        reply({.reason = "this node is starting"});
        return;
    }
    serving->orders.handle_relayed(std::move(it), std::move(reply));
}

permit_response node_peer_service::on_acquire_permit(incarnation who, std::string_view upstream,
                                                     request_class it) {
    const auto* serving = parts_.load();
    if (serving == nullptr) {
        return {.is_holder = false};
    }
    const auto limits = cold_limits_of(*serving->config.view(), upstream);
    return serving->issuer.acquire(who, upstream, it, limits, serving->time.now());
}

void node_peer_service::on_release_permit(const permit_release& it) {
    if (const auto* serving = parts_.load()) {
        serving->issuer.release(it, cold_limits_of(*serving->config.view(), it.upstream),
                                serving->time.now());
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
