#pragma once

#include "modules/berylcrank_membership/address/address_selector.h"
#include "modules/berylcrank_membership/address/exit_policy.h"
#include "modules/berylcrank_node/control/gossip_processor.h"
#include "modules/berylcrank_node/control/holder_permits.h"
#include "modules/berylcrank_node/control/stop_signal.h"
#include "modules/berylcrank_node/request/dispatch_lease.h"
#include "modules/berylcrank_node/request/node_router.h"
#include "modules/berylcrank_node/request/order_flow.h"
#include "modules/berylcrank_node/request/service_table.h"
#include "modules/berylcrank_routing/cold/holder_election.h"

#include "absl/container/flat_hash_set.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace berylcrank {

/** The control thread of a node. Checks configuration freshness, gossips, proposes holders of admission
    groups, updates the address list, drives request queues and performs a planned stop.
    @see dispatch_lease, gossip_processor, holder_election, exit_policy
*/
class node_control {
public:
    /** Components that the thread drives; all must outlive this object. */
    struct dependencies {
        const clock& time;
        incarnation self;
        peer_view& peers;
        address_selector& addresses;
        config_follower& config;
        gossip_processor& gossip_messages;
        peer_client& client;
        cold_gate& gate;
        permit_issuer& issuer;
        holder_permits& permits;
        node_router& router;
        service_table& services;
        order_flow& orders;
        dispatch_lease& lease;
        std::function<std::size_t()> in_flight; ///< Number of requests that a leaving node has to finish.
        std::function<bool()> is_ready;         ///< True if the node can serve requests.
    };

    struct options {
        millis tick{10};
        millis gossip{500};
        millis gossip_call{1000};
        millis isolation_limit{2500};
        exit_policy::options leave;
        std::uint64_t seed{1};
    };

    node_control(const dependencies& it, const options& o);
    ~node_control() { stop(); }
    node_control(const node_control&) = delete;
    node_control& operator=(const node_control&) = delete;

    /** Starts the thread. */
    void start();

    /** Joins the thread. */
    void stop();

    /** Starts a planned stop. */
    void leave() { leave_requested_.store(true); }

    /** True once a leaving node may exit. */
    [[nodiscard]] bool has_left() const { return has_left_.load(); }

    /** True after `leave`. */
    [[nodiscard]] bool is_leaving() const { return leave_requested_.load(); }

    /** Freshness of the configuration at the last check. */
    [[nodiscard]] freshness current_freshness() const { return freshness_.load(); }

private:
    using holder_list = std::array<incarnation, group_count>;

    void run();
    void tick(instant now);
    void check_freshness(instant now);
    void gossip(instant now);
    void send_gossip(const gossip_target& it);
    void propose_groups(instant now);
    void hand_over_groups(instant now);
    void update_addresses(instant now);
    void start_leaving(instant now);
    [[nodiscard]] std::vector<incarnation> live_incarnations(instant now) const;
    [[nodiscard]] std::size_t count_unnotified(instant now);
    [[nodiscard]] bool has_groups_to_hand_over(instant now) const;
    [[nodiscard]] holder_list holders() const;

    dependencies deps_;
    options options_;
    seeded_random random_;
    holder_election election_;
    exit_policy exit_policy_;
    bool was_ready_{false}; // Peers give this node's address to callers only after this is set.
    instant next_gossip_;
    instant next_periodic_;
    instant next_hand_over_;
    instant hand_over_deadline_;
    freshness_decision decision_;
    std::atomic<freshness> freshness_{freshness::isolated};
    std::atomic<bool> leave_requested_{false};
    std::atomic<bool> has_left_{false};
    mutex notified_mutex_;
    absl::flat_hash_set<std::string> notified_vms_
        ABSL_GUARDED_BY(notified_mutex_); ///< VMs that this node has notified of its planned stop.
    stop_signal signal_;
    std::thread thread_;
};

} // namespace berylcrank
