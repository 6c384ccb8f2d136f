#pragma once

#include "modules/berylcrank_membership/address/address_selector.h"
#include "modules/berylcrank_membership/address/exit_policy.h"
#include "modules/berylcrank_node/control/holder_permits.h"
#include "modules/berylcrank_node/control/node_news.h"
#include "modules/berylcrank_node/control/stop_signal.h"
#include "modules/berylcrank_node/request/node_router.h"
#include "modules/berylcrank_node/request/order_flow.h"
#include "modules/berylcrank_node/request/service_table.h"
#include "modules/berylcrank_node/request/work_gate.h"
#include "modules/berylcrank_routing/cold/holder_election.h"

#include "absl/container/flat_hash_set.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace berylcrank {

/** The control thread of a node: freshness, gossip, admission groups, address answers, queues, leaving.

    @see work_gate, node_news, holder_election, exit_policy
*/
class node_control {
public:
    /** What it drives; all must outlive it. */
    struct parts {
        const clock& time;
        incarnation self;
        peer_view& peers;
        address_selector& addresses;
        config_follower& config;
        node_news& news;
        peer_client& client;
        cold_gate& gate;
        permit_issuer& issuer;
        holder_permits& permits;
        node_router& router;
        service_table& services;
        order_flow& orders;
        work_gate& work;
        std::function<std::size_t()> in_flight; ///< Requests that keep a leaving node from exiting.
        std::function<bool()> is_ready;         ///< Whether the node can serve.
    };

    struct options {
        millis tick{10};
        millis gossip{500};
        millis gossip_call{1000};
        millis isolation_limit{2500};
        exit_policy::options leave;
        std::uint64_t seed{1};
    };

    node_control(const parts& it, const options& o);
    ~node_control() { stop(); }
    node_control(const node_control&) = delete;
    node_control& operator=(const node_control&) = delete;

    /** Starts the thread. */
    void start();

    /** Joins the thread. */
    void stop();

    /** Starts a planned stop. */
    void leave() { leave_asked_.store(true); }

    /** True once a leaving node may exit. */
    [[nodiscard]] bool has_left() const { return has_left_.load(); }

    /** True after `leave`. */
    [[nodiscard]] bool is_leaving() const { return leave_asked_.load(); }

    /** Whether the configuration is current. */
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
    [[nodiscard]] std::vector<incarnation> alive_runs(instant now) const;
    [[nodiscard]] std::size_t count_untold(instant now);
    [[nodiscard]] bool is_holding(instant now) const;
    [[nodiscard]] holder_list holders() const;

    parts parts_;
    options options_;
    seeded_random random_;
    holder_election assignment_;
    exit_policy exit_policy_;
    bool was_ready_{false}; // Until then other nodes do not name this one.
    instant next_gossip_;
    instant next_slow_;
    instant next_hand_over_;
    instant give_up_hand_over_;
    freshness_decision decision_;
    std::atomic<freshness> freshness_{freshness::isolated};
    std::atomic<bool> leave_asked_{false};
    std::atomic<bool> has_left_{false};
    mutex told_mutex_;
    absl::flat_hash_set<std::string> told_ ABSL_GUARDED_BY(told_mutex_); ///< Vms that know of the stop.
    stop_signal signal_;
    std::thread thread_;
};

} // namespace berylcrank
