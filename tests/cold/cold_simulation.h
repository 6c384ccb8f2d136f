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

/** Nodes, a log and one upstream under a manual clock and a random schedule of faults. Checks after each
   arrival that requests in flight at a process that was not declared warm stay within the bound. */
class cold_simulation {
public:
    struct options {
        std::uint64_t seed{1};
        std::size_t nodes{4};
        cold_limits limits{.concurrency = 2, .warm_requests = 10};
        cold_timing times{millis{200}, millis{50}, millis{250}, millis{200}};
        millis length{2500};
        bool has_faults{true};
        bool has_outage{false}; ///< The log goes down for good and the upstream restarts after that.
        // Faults put into the nodes, which the check must find.
        bool ignores_check{false};    ///< Sends whatever `may_send` says.
        bool confirms_always{false};  ///< The holder does not look whether it was replaced.
        bool trusts_refusal{false};   ///< Takes a log that is down for one without new records; asks no peer.
        bool skips_wait{false};       ///< A new holder issues at once.
        bool trusts_ports{false};     ///< Does not tell the gate that a connection is new.
        bool has_no_run_limit{false}; ///< The upstream is not told when to end a permitted request.
    };

    explicit cold_simulation(const options& it);
    cold_simulation(const cold_simulation&) = delete;
    cold_simulation& operator=(const cold_simulation&) = delete;
    ~cold_simulation();

    void run();

    std::string violation; ///< First one found, empty if none.
    std::uint64_t answered{0};
    std::uint64_t holder_changes{0};
    std::optional<instant> warm_at; ///< When the process at the end of the run was declared warm.

private:
    struct process {
        std::string name;
        bool is_up{true};
        bool is_declared{false};
        std::uint32_t in_flight{0};
        std::uint32_t good{0};
    };
    struct job {
        std::shared_ptr<process> at;
        bool is_over{false};
    };
    struct node;
    struct request;
    using handler = std::function<void()>;

    void at(millis delay, handler it) { events_.emplace(now_ + delay, std::move(it)); }
    void on(std::size_t vm, millis delay, handler it);
    void on_run(std::size_t vm, incarnation run, handler it);
    void call(std::size_t from, std::size_t to, std::function<handler(node&)> serve, handler refused);
    void start_node(std::size_t vm);
    void tick(std::size_t vm);
    void gossip(node& it);
    void read_log(node& it);
    void apply(node& it, std::size_t end);
    void confirm(node& it, std::optional<instant> proof);
    gossip_message message(node& it);
    void on_reply(node& it, const gossip_message& reply, const gossip_target& target, instant asked);
    void propose(node& it);
    void load(std::size_t vm);
    void ask(node& it, const std::shared_ptr<request>& request);
    void send(node& it, const std::shared_ptr<request>& request);
    void arrive(std::size_t vm, const std::shared_ptr<request>& request, millis limit);
    void end(node& it, const std::shared_ptr<request>& request, cold_outcome end);
    void give_back(node& it, const permit_release& release);
    void take_news(node& it);
    void fault();
    void restart_upstream();
    millis delay();
    bool chance(double p) { return random_.unit() < p; }
    instant local(const node& it) const;

    const options options_;
    seeded_random random_;
    instant now_;
    std::multimap<instant, handler> events_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::shared_ptr<process> upstream_;
    std::vector<group_record> log_;
    std::array<incarnation, group_count> holders_{};
    instant log_down_until_;
    std::size_t missing_vm_{0};
    std::uint64_t last_process_{0};
};

} // namespace berylcrank
