#pragma once

#include "modules/berylcrank_membership/view/peer_view.h"
#include "modules/berylcrank_node/request/home_resolver.h"

namespace berylcrank {

/** Looks up the RPC addresses of home nodes in the peer view.
    @see order_flow
*/
class peer_home_resolver final : public home_resolver {
public:
    explicit peer_home_resolver(const peer_view& peers) : peers_(peers) {}

    [[nodiscard]] std::optional<std::string> find(incarnation it) const override {
        return peers_.rpc_address(it);
    }

private:
    const peer_view& peers_;
};

} // namespace berylcrank
