#pragma once

#include "modules/berylcrank_core/verdict/request_class.h"
#include "modules/berylcrank_membership/message/gossip_message.h"
#include "modules/berylcrank_once/message/order_message.h"
#include "modules/berylcrank_routing/cold/permit.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace berylcrank {

/** Implements the calls that a node receives from other nodes. Called on the RPC thread. Must not block.

    @see peer_client
*/
class peer_service {
public:
    peer_service() = default;
    peer_service(const peer_service&) = delete;
    peer_service& operator=(const peer_service&) = delete;
    virtual ~peer_service() = default;

    /** Receives a gossip message and returns one from this node. */
    virtual gossip_message on_gossip(const gossip_message& message) = 0;

    /** Returns the configuration changes after `from_offset`, encoded by the configuration module. */
    virtual std::string on_pull_state(std::uint64_t from_offset) = 0;

    /** Runs a relayed order. The implementation calls `respond` once, on any thread. */
    virtual void on_relay_order(order_request order, std::function<void(order_response)> respond) = 0;

    /** Handles a request of the node `requester` for a permit to send to `upstream`. */
    virtual permit_response on_acquire_permit(incarnation requester, std::string_view upstream,
                                              request_class kind) = 0;

    /** Releases a permit. */
    virtual void on_release_permit(const permit_release& release) = 0;

    /** Receives crash reports. */
    virtual void on_report_crash(std::span<const crash_report> reports) = 0;
};

} // namespace berylcrank
