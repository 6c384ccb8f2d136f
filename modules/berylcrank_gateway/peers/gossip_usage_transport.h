#pragma once

#include "modules/berylcrank_balance/peers/peer_table.h"
#include "modules/berylcrank_balance/usage/usage_message.h"
#include "modules/berylcrank_gateway/peers/gossip_socket.h"

namespace berylcrank {

/** Sends messages about usage caps through the socket for the messages between nodes.

    @see usage_caps
*/
class gossip_usage_transport final : public usage_transport {
public:
    /** All arguments must outlive this object. */
    gossip_usage_transport(gossip_socket& socket, const peer_table& peers, const clock& time)
        : socket_(socket), peers_(peers), time_(time) {}

    /** Sends a message; drops it if the address of the node is not known. */
    void send(std::uint64_t to, const usage_message& it) override;

    std::function<void()> on_request; ///< Called after a request for a token, whose response is urgent.

private:
    gossip_socket& socket_;
    const peer_table& peers_;
    const clock& time_;
};

} // namespace berylcrank
