#pragma once

#include "modules/berylcrank_gateway/flow/node_state.h"
#include "modules/berylcrank_gateway/server/exchange.h"
#include "modules/berylcrank_gateway/state/state_follower.h"

#include <functional>

namespace berylcrank {

/** Answers the platform's readiness checks. */
class ready_handler final : public request_handler {
public:
    ready_handler(node_state& node, std::function<bool()> ready) : node_(node), ready_(std::move(ready)) {}
    void handle(const exchange_ptr& it) override;

private:
    node_state& node_;
    std::function<bool()> ready_;
};

/** Tells callers the addresses of the nodes to which they may connect: live ones, those in the caller's
   failure domain if there are enough of them. */
class directory_handler final : public request_handler {
public:
    /** Live nodes in a failure domain from which its callers are sent there only. */
    static constexpr std::size_t enough_in_domain = 2;
    /** Addresses that an answer may hold. */
    static constexpr std::size_t max_addresses = 64;

    directory_handler(node_state& node, std::function<bool()> ready)
        : node_(node), ready_(std::move(ready)) {}
    void handle(const exchange_ptr& it) override;

    /** The addresses for a caller in `failure_domain`. */
    [[nodiscard]] std::vector<std::string> addresses(std::string_view failure_domain, instant now) const;

private:
    node_state& node_;
    std::function<bool()> ready_;
};

/** Gives other nodes the records that they lack. */
class state_handler final : public request_handler {
public:
    state_handler(node_state& node, const state_follower& follower) : node_(node), follower_(follower) {}
    void handle(const exchange_ptr& it) override;

private:
    node_state& node_;
    const state_follower& follower_;
};

/** Target of a question for records from the given offsets on. */
std::string state_target(const std::array<std::uint64_t, record_source_count>& from);

/** Status and metrics for operators. */
class control_handler final : public request_handler {
public:
    control_handler(node_state& node, const state_follower& follower) : node_(node), follower_(follower) {}
    void handle(const exchange_ptr& it) override;

private:
    node_state& node_;
    const state_follower& follower_;
};

} // namespace berylcrank
