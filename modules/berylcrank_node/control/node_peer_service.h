#pragma once

#include "modules/berylcrank_node/control/gossip_processor.h"
#include "modules/berylcrank_node/request/order_flow.h"
#include "modules/berylcrank_routing/cold/permit_issuer.h"
#include "modules/berylcrank_rpc/peer/peer_service.h"

#include <atomic>

namespace berylcrank {

/** Serves the RPCs of other nodes.
    The RPC endpoint exists before the order flow, which uses it as a client. Until `start` is called,
    relayed orders get "may have run" and permits are refused.
    @see gossip_processor, order_flow, permit_issuer
*/
class node_peer_service final : public peer_service {
public:
    /** Components that process the RPCs; all must outlive this object. */
    struct dependencies {
        const clock& time;
        peer_view& peers;
        config_follower& config;
        gossip_processor& gossip_messages;
        permit_issuer& issuer;
        order_flow& orders;
    };

    /** Starts to serve RPCs. */
    void start(const dependencies& it);

    gossip_message on_gossip(const gossip_message& it) override;
    std::string on_pull_state(std::uint64_t from_offset) override;
    void on_relay_order(order_request it, std::function<void(order_response)> respond) override;
    permit_response on_acquire_permit(incarnation who, std::string_view upstream, request_class it) override;
    void on_release_permit(const permit_release& it) override;
    void on_report_crash(std::span<const crash_report> it) override;

private:
    std::optional<dependencies> storage_;
    std::atomic<const dependencies*> deps_{nullptr};
};

/** Cold-admission limits of the service that an upstream belongs to; defaults if the upstream is not
    configured. */
cold_limits cold_limits_of(const config_view& view, std::string_view upstream);

} // namespace berylcrank
