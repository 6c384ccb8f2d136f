#pragma once

#include "modules/berylcrank_gateway/flow/node_state.h"
#include "modules/berylcrank_gateway/server/exchange.h"
#include "modules/berylcrank_gateway/state/state_follower.h"

#include <functional>

namespace berylcrank {

/** Serves the platform's readiness checks: 200 when the node is ready, else 503. */
class ready_handler final : public request_handler {
public:
    ready_handler(node_state& node, std::function<bool()> ready) : node_(node), ready_(std::move(ready)) {}
    void handle(const exchange_ptr& it) override;

private:
    node_state& node_;
    std::function<bool()> ready_;
};

/** Serves the addresses of the live, ready nodes to which a caller may connect. Returns only nodes of the
    caller's failure domain if there are at least `min_local_nodes` of them. */
class directory_handler final : public request_handler {
public:
    /** Number of ready nodes in a failure domain from which its callers receive only these. */
    static constexpr std::size_t min_local_nodes = 2;
    /** Maximum number of addresses in a response. */
    static constexpr std::size_t max_addresses = 64;

    directory_handler(node_state& node, std::function<bool()> ready)
        : node_(node), ready_(std::move(ready)) {}
    void handle(const exchange_ptr& it) override;

    /** Returns the addresses for a caller in `failure_domain`, in random order. */
    [[nodiscard]] std::vector<std::string> addresses(std::string_view failure_domain, instant now) const;

private:
    node_state& node_;
    std::function<bool()> ready_;
};

/** Serves records of the store and the list of known nodes to other nodes. */
class state_handler final : public request_handler {
public:
    state_handler(node_state& node, const state_follower& follower) : node_(node), follower_(follower) {}
    void handle(const exchange_ptr& it) override;

private:
    node_state& node_;
    const state_follower& follower_;
};

/** Request target that asks for the list of known nodes. */
inline constexpr std::string_view nodes_target = "/nodes";

/** Returns the request target that asks for records from the given positions on. */
std::string state_target(const std::array<store_position, record_source_count>& from);

/** Serves status and metrics to operators. */
class control_handler final : public request_handler {
public:
    /** `unreadable_datagrams` returns the number of datagrams that could not be decoded so far,
       `active_flows` the number of requests without a complete response. */
    control_handler(node_state& node, const state_follower& follower,
                    std::function<std::uint64_t()> unreadable_datagrams,
                    std::function<std::size_t()> active_flows)
        : node_(node), follower_(follower), unreadable_datagrams_(std::move(unreadable_datagrams)),
          active_flows_(std::move(active_flows)) {}
    void handle(const exchange_ptr& it) override;

private:
    node_state& node_;
    const state_follower& follower_;
    std::function<std::uint64_t()> unreadable_datagrams_;
    std::function<std::size_t()> active_flows_;
};

} // namespace berylcrank
