#pragma once

#include "modules/berylcrank_membership/view/peer_view.h"
#include "modules/berylcrank_node/request/home_directory.h"

namespace berylcrank {

/** Finds the homes of ids in the peer view.

    @see order_flow
*/
class peer_homes final : public home_directory {
public:
    explicit peer_homes(const peer_view& peers) : peers_(peers) {}

    [[nodiscard]] std::optional<std::string> find(incarnation it) const override {
        return peers_.rpc_address(it);
    }

private:
    const peer_view& peers_;
};

} // namespace berylcrank
