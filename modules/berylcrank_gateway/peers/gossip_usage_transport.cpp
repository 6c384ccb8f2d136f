#include "modules/berylcrank_gateway/peers/gossip_usage_transport.h"

#include <array>

namespace berylcrank {

void gossip_usage_transport::send(std::uint64_t to, const usage_message& it) {
    const auto* node = peers_.find(to);
    if (node == nullptr) {
        return;
    }
    node_message message{.node = it.node, .incarnation = it.run, .usage = it};
    if (it.pledge && it.pledge->holder_run == 0) {
        message.self = peers_.self(); // the holder may not know this node yet
    }
    const std::array<gossip_socket::endpoint, 1> receiver{
        gossip_socket::address(node->info.ip, node->info.gossip_port)};
    socket_.send(encode(message, time_.now()), receiver);
    if (it.request && on_request) {
        on_request();
    }
}

} // namespace berylcrank
