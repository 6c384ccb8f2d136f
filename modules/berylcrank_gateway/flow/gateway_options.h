#pragma once

#include "modules/berylcrank_balance/admission/admission_control.h"
#include "modules/berylcrank_balance/budget/windowed_retry_budget.h"
#include "modules/berylcrank_balance/choice/hedge_policy.h"
#include "modules/berylcrank_balance/choice/upstream_choice.h"
#include "modules/berylcrank_balance/peers/peer_table.h"

#include <string>
#include <vector>

namespace berylcrank {

/** Settings of a node that serves a platform deployment. Addresses are "IP:PORT". */
struct gateway_options {
    node_info self;
    std::string front_address;         ///< Callers' requests; empty if not served.
    std::string ready_address;         ///< The platform's readiness checks.
    std::string directory_address;     ///< Callers who ask where to connect.
    std::string control_address;       ///< Status and metrics.
    std::string ready_path;            ///< Path of readiness checks.
    std::string directory_path;        ///< Path of questions where to connect.
    std::vector<std::string> seed_ips; ///< Machines that may run a node.
    std::vector<std::string> failure_domains;

    choice_options choice;
    admission_options admission;
    hedge_options hedges;
    retry_budget_limits resends;
    double warmup_factor{1};  ///< On the rate that a cold upstream tolerates.
    double warmup_slack{0};   ///< Requests a second besides.
    millis address_ttl{2500}; ///< How long callers may keep the addresses they were told.
    millis grace{6000};       ///< From the stop signal until the process is killed.

    millis connect_limit{350};      ///< For a connection to an upstream. Round trips take a few milliseconds.
    millis usual_time_limit{10000}; ///< For requests that name none on a route that names none.
    millis stall_limit{5000};       ///< Silence after which a response that has begun is given up.
    std::size_t hold_bytes{262144}; ///< A response up to this size is sent on only when it is whole.
    std::size_t backlog_bytes{262144}; ///< Bytes that a slow caller may have waiting.
    millis probe_interval{60};         ///< Between probes of one upstream by all nodes.
    millis probe_limit{400};           ///< For a probe.
    millis message_interval{50};       ///< Between messages to other nodes.
    millis busy_interval{25};          ///< The same while requests wait here: slots change hands quickly.
    millis roster_interval{700};       ///< Between rosters, in deployments of many cells.
    millis hello_interval{500};        ///< Between messages that carry a node's address.
};

} // namespace berylcrank
