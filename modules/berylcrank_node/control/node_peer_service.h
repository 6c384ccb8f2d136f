#pragma once

#include "modules/berylcrank_node/control/node_news.h"
#include "modules/berylcrank_node/request/order_flow.h"
#include "modules/berylcrank_routing/cold/permit_issuer.h"
#include "modules/berylcrank_rpc/peer/peer_service.h"

#include <atomic>

namespace berylcrank {

/** What a node does for other nodes.

    The RPC endpoint exists before the order flow, which needs it as a client; until `start` is called,
   relayed orders get "may have run" and permits are refused.
    @see node_news, order_flow, permit_issuer
*/
class node_peer_service final : public peer_service {
public:
    /** What it serves from; all must outlive it. */
    struct parts {
        const clock& time;
        peer_view& peers;
        config_follower& config;
        node_news& news;
        permit_issuer& issuer;
        order_flow& orders;
    };

    /** Begins to serve. */
    void start(const parts& it);

    gossip_message on_gossip(const gossip_message& it) override;
    std::string on_pull_state(std::uint64_t from_offset) override;
    void on_relay_order(order_request it, std::function<void(order_response)> reply) override;
    permit_response on_acquire_permit(incarnation who, std::string_view upstream, request_class it) override;
    void on_release_permit(const permit_release& it) override;
    void on_report_crash(std::span<const crash_report> it) override;

private:
    std::optional<parts> storage_;
    std::atomic<const parts*> parts_{nullptr};
};

/** Cold admission fields of the service that an upstream belongs to; the defaults if it is not configured. */
cold_limits cold_limits_of(const config_view& view, std::string_view upstream);

} // namespace berylcrank
