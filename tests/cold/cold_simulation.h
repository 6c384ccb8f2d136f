#pragma once

#include "modules/berylcrank_membership/view/peer_view.h"
#include "modules/berylcrank_routing/cold/cold_gate.h"
#include "modules/berylcrank_routing/cold/holder_election.h"
#include "modules/berylcrank_routing/cold/permit_issuer.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace berylcrank {

/** Simulates nodes, a log and one upstream with a manual clock and random faults. Checks at each arrival
    that the requests in flight at a process that was not declared warm do not exceed the bound. */
class cold_simulation {
public:
    struct options {
        std::uint64_t seed{1};
        std::size_t nodes{4};
        cold_limits limits{.concurrency = 2, .warm_requests = 10};
        cold_timing times{millis{200}, millis{50}, millis{250}, millis{200}};
        millis length{2500};
        bool has_faults{true};
        bool has_outage{false}; ///< The log stays down, and the upstream restarts later.
        // Faults injected into the nodes; the check must detect them.
        bool ignores_check{false};            ///< Ignores the result of `may_send`.
        bool confirms_always{false};          ///< The holder does not check whether it was replaced.
        bool treats_outage_as_log_end{false}; ///< Assumes no new records in an outage; queries no peer.
        bool skips_holder_wait{false};        ///< A new holder issues permits at once.
        bool hides_new_connections{false};    ///< Does not report to the gate that a connection is new.
        bool has_no_run_limit{false};         ///< The upstream gets no run limit for a permitted request.
    };

    explicit cold_simulation(const options& opts);
    cold_simulation(const cold_simulation&) = delete;
    cold_simulation& operator=(const cold_simulation&) = delete;
    ~cold_simulation();

    void run();

    std::string violation; ///< First violation found; empty if none.
    std::uint64_t responses{0};
    std::uint64_t holder_changes{0};
    std::optional<instant> warm_at; ///< Time when the current process was declared warm.

private:
    struct process {
        std::string name;
        bool is_up{true};
        bool is_declared_warm{false};
        std::uint32_t in_flight{0};
        std::uint32_t successes{0};
    };
    struct upstream_job {
        std::shared_ptr<process> target;
        bool is_finished{false};
    };
    struct node;
    struct request;
    using handler = std::function<void()>;

    void schedule(millis delay, handler action) { events_.emplace(now_ + delay, std::move(action)); }
    void run_on_node(std::size_t vm, millis delay, handler action);
    void run_if_current(std::size_t vm, incarnation run, handler action);
    void call(std::size_t from, std::size_t to, std::function<handler(node&)> remote_handler,
              handler refused);
    void start_node(std::size_t vm);
    void tick(std::size_t vm);
    void gossip(node& self);
    void read_log(node& self);
    void apply(node& self, std::size_t end);
    void confirm_holder(node& self, std::optional<instant> proof);
    gossip_message make_message(node& self);
    void on_gossip_response(node& self, const gossip_message& response, const gossip_target& target,
                            instant sent_at);
    void propose(node& self);
    void generate_load(std::size_t vm);
    void request_permit(node& self, const std::shared_ptr<request>& pending);
    void send_request(node& self, const std::shared_ptr<request>& pending);
    void arrive_at_upstream(std::size_t vm, const std::shared_ptr<request>& pending, millis limit);
    void finish_request(node& self, const std::shared_ptr<request>& pending, cold_outcome outcome);
    void release_permit(node& self, const permit_release& release);
    void share_warm_reports(node& self);
    void inject_fault();
    void restart_upstream();
    millis random_delay();
    bool chance(double p) { return random_.unit() < p; }
    instant local_time(const node& self) const;

    const options options_;
    seeded_random random_;
    instant now_;
    std::multimap<instant, handler> events_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::shared_ptr<process> upstream_;
    std::vector<holder_assignment> log_;
    std::array<incarnation, group_count> holders_{};
    instant log_down_until_;
    std::size_t missing_vm_{0};
    std::uint64_t last_process_{0};
};

} // namespace berylcrank
