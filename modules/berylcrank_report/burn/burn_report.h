#pragma once

#include "modules/berylcrank_report/burn/burn_event.h"

#include <array>
#include <boost/leaf/result.hpp>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Objectives and event counts of one service, for one node or merged over nodes. @see burn_report */
struct service_burn {
    double latency_objective_ms{0};
    double latency_objective_percent{0};
    double availability_objective_percent{0};
    std::array<burn_counts, burn_window_count> windows{};
    burn_counts since_start;
    burn_counts in_domain_change;
    double uptime_seconds{0}; ///< Longest uptime of the nodes in the counts.
};

/** Consumption of the error budget of one objective in one window. @see service_budget_use */
struct budget_use {
    double bad_share{0}; ///< Bad events divided by all events; 0 without events.
    /** `bad_share` divided by the allowed share. At a rate of 1, the budget lasts exactly for the period of
        the objective. */
    double burn_rate{0};
};

/** Burn rates, remaining error budgets and alerts of one service. @see burn_report::compute_budget_use */
struct service_budget_use {
    std::array<budget_use, burn_window_count> availability{};
    std::array<budget_use, burn_window_count> latency{};
    /** Remaining share of the budget in the longest window; may be negative. */
    double availability_budget_left{1};
    double latency_budget_left{1};   ///< As `availability_budget_left`.
    std::vector<std::string> alerts; ///< E.g. "page: availability burns at least 14.4x over 1h and 5m".
};

/** Event counts of all services, merged over the nodes that responded.

    Nodes count from their start and do not store the counts, so the counts of a replaced node are lost. The
    report therefore contains the nodes that responded and their shortest uptime.
    @see write_burn_text, write_burn_json, write_burn_html
*/
class burn_report {
public:
    /** Adds the response of a node to `GET /burn`. Fails with a `std::string` message if it is malformed,
        and then adds nothing. */
    boost::leaf::result<void> add_node(std::string_view json);

    /** Adds the address of a node that did not respond. */
    void add_missing(std::string address) { missing_.push_back(std::move(address)); }

    [[nodiscard]] const std::map<std::string, service_burn>& services() const { return services_; }
    [[nodiscard]] std::span<const std::string> nodes() const { return nodes_; }
    [[nodiscard]] std::span<const std::string> missing() const { return missing_; }

    /** Returns the uptime in seconds of the node that started last. */
    [[nodiscard]] double shortest_uptime_seconds() const { return shortest_uptime_seconds_; }

    /** Computes burn rates, remaining budgets and alerts of one service. */
    [[nodiscard]] static service_budget_use compute_budget_use(const service_burn& service);

private:
    std::map<std::string, service_burn> services_;
    std::vector<std::string> nodes_;
    std::vector<std::string> missing_;
    double shortest_uptime_seconds_{0};
};

} // namespace berylcrank
