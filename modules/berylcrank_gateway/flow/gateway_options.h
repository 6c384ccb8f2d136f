#pragma once

#include "modules/berylcrank_balance/admission/admission_control.h"
#include "modules/berylcrank_balance/admission/stop_admission.h"
#include "modules/berylcrank_balance/budget/windowed_retry_budget.h"
#include "modules/berylcrank_balance/choice/hedge_policy.h"
#include "modules/berylcrank_balance/choice/upstream_choice.h"
#include "modules/berylcrank_balance/peers/peer_table.h"
#include "modules/berylcrank_balance/usage/usage_limits.h"
#include "modules/berylcrank_suspect/table/suspect_table.h"

#include <string>
#include <vector>

namespace berylcrank {

/** Settings of a node that serves a platform deployment. Addresses are "IP:PORT". */
struct gateway_options {
    node_info self;
    std::string front_address;         ///< Listener for requests of callers; empty if there is none.
    std::string ready_address;         ///< Listener for the platform's readiness checks.
    std::string directory_address;     ///< Listener for callers that look up the addresses of nodes.
    std::string control_address;       ///< Listener for status and metrics.
    std::string ready_path;            ///< Path of readiness checks.
    std::string directory_path;        ///< Path of address lookups.
    std::vector<std::string> seed_ips; ///< IP addresses of machines that may run a node.
    std::vector<std::string> failure_domains;
    double store_writes_per_second{0}; ///< Quota of the store for all nodes together; 0 if unknown.

    std::size_t memory_bytes{0}; ///< That the process may use; 0 if unknown, for no limit on requests.
    /** That the process may have open; 0 if unknown, for no limit on connections of callers. */
    std::size_t max_descriptors{0};

    choice_options choice;
    admission_options admission;
    hedge_options hedges;
    stop_options stops;
    retry_budget_limits retries;
    suspect_table::options suspects;
    millis trial_spread{20000}; ///< The nodes' delays of trials of suspects are spread over this time.
    usage_tolerance usage;      ///< How far accounts may exceed their usage caps for a short time.
    double warmup_factor{1};    ///< Factor on the request rate that a cold upstream tolerates.
    double warmup_slack{0};     ///< Requests per second that are added to that rate.
    millis address_ttl{2500};   ///< Time to live of a looked-up address list.
    millis grace{6000};         ///< From the stop signal until the process is killed.
    millis config_bound{2000};  ///< From a new configuration in the store until it is in force.
    millis drain_bound{2000};   ///< From the store's word that an upstream leaves until its last request.

    millis connect_timeout{350};   ///< Of a connection to an upstream. Round trips take a few milliseconds.
    millis default_timeout{10000}; ///< Of a request if neither the caller nor the route sets a timeout.
    /** Time without data of a response after which its upstream counts as silent. It ends the response only
        past the deadline of the request. */
    millis silence_limit{400};
    std::size_t max_buffered_response_bytes{
        262144};                          ///< A smaller response is forwarded only when it is
                                          ///< complete, so that it can still be replaced by a retry.
    std::size_t max_unsent_bytes{262144}; ///< For a slow caller. Above, reading from the upstream pauses.
    millis probe_interval{60};            ///< Between probes of one upstream, over all nodes.
    millis probe_timeout{400};            ///< Of a probe.
    millis message_interval{50};          ///< Between messages to other nodes.
    millis busy_message_interval{25}; ///< The same while requests wait here, as free slots are taken quickly.
    millis roster_interval{700};      ///< Between rosters, in deployments of more than one cell.
    millis hello_interval{500};       ///< Between hellos, which carry the node's address.
};

} // namespace berylcrank
