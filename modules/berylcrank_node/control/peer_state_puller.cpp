#include "modules/berylcrank_node/control/peer_state_puller.h"

#include <algorithm>
#include <future>
#include <memory>

namespace berylcrank {

namespace {

// Maximum number of members per pull; asking more would exceed the caller's timeout.
constexpr std::size_t max_pulled_members = 3;

} // namespace

std::optional<std::string> peer_state_puller::pull_delta(std::uint64_t from_offset, millis limit) {
    auto members = peers_.members(time_.now());
    std::erase_if(members,
                  [](const peer_member& it) { return it.is_self || it.state == peer_state::silent; });
    const auto member_count = std::min(members.size(), max_pulled_members);
    for (std::size_t n = 0; n < member_count; ++n) {
        const auto& it = members[next_++ % members.size()];
        const auto share = limit * (1.0 / static_cast<double>(member_count));
        if (auto delta = pull_from(it.info.rpc_address, from_offset, share)) {
            return delta;
        }
    }
    return std::nullopt;
}

std::optional<std::string> peer_state_puller::pull_from(const std::string& address, std::uint64_t from_offset,
                                                        millis limit) {
    auto* client = client_.load();
    if (client == nullptr) {
        return std::nullopt;
    }
    const auto response = std::make_shared<std::promise<std::optional<std::string>>>();
    auto future = response->get_future();
    client->pull_state(address, from_offset, limit, [response](peer_failure failure, std::string delta) {
        if (failure == peer_failure::none && !delta.empty()) {
            response->set_value(std::move(delta));
        } else {
            response->set_value(std::nullopt);
        }
    });
    return future.get();
}

} // namespace berylcrank
