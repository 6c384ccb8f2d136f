#include "modules/berylcrank_node/control/node_peer_service.h"

#include <utility>

namespace berylcrank {

void node_peer_service::start(const parts& it) {
    storage_.emplace(it);
    parts_.store(&*storage_);
}

gossip_message node_peer_service::on_gossip(const gossip_message& it) {
    const auto* parts = parts_.load();
    if (parts == nullptr) {
        return {};
    }
    parts->peers.on_message(it, parts->time.now());
    parts->news.take(it);
    return parts->news.make();
}

std::string node_peer_service::on_pull_state(std::uint64_t from_offset) {
    const auto* parts = parts_.load();
    return parts == nullptr ? std::string{} : parts->config.delta_since(from_offset);
}

void node_peer_service::on_relay_order(order_request it, std::function<void(order_answer)> reply) {
    const auto* parts = parts_.load();
    if (parts == nullptr) {
        reply({.reason = "this node is starting"});
        return;
    }
    parts->orders.handle_relayed(std::move(it), std::move(reply));
}

permit_answer node_peer_service::on_acquire_permit(incarnation who, std::string_view upstream,
                                                   request_class it) {
    const auto* parts = parts_.load();
    if (parts == nullptr) {
        return {.is_holder = false};
    }
    const auto limits = cold_limits_of(*parts->config.view(), upstream);
    return parts->issuer.acquire(who, upstream, it, limits, parts->time.now());
}

void node_peer_service::on_release_permit(const permit_release& it) {
    if (const auto* parts = parts_.load()) {
        parts->issuer.release(it, cold_limits_of(*parts->config.view(), it.upstream), parts->time.now());
    }
}

void node_peer_service::on_report_crash(std::span<const crash_news> it) {
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
