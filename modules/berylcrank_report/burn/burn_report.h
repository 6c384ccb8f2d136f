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

/** Objectives and counts of one service, of one node or merged. @see burn_report */
struct service_burn {
    double latency_objective_ms{0};
    double latency_objective_percent{0};
    double availability_objective_percent{0};
    std::array<burn_counts, burn_window_count> windows{};
    burn_counts since_start;
    burn_counts in_domain_change;
    double uptime_seconds{0}; ///< Longest time that a contributing node has been counting.
};

/** Use of one objective's error budget in one window. @see service_use */
struct objective_use {
    double bad_share{0}; ///< Bad events over all events; 0 without events.
    double burn_rate{
        0}; ///< `bad_share` over the allowed share: 1 uses up the budget exactly at the period's end.
};

/** Derived figures of one service. @see burn_report::use_of */
struct service_use {
    std::array<objective_use, burn_window_count> availability{};
    std::array<objective_use, burn_window_count> latency{};
    double availability_budget_left{
        1}; ///< Share of the error budget left, over the longest window; may be negative.
    double latency_budget_left{1};
    std::vector<std::string> alerts; ///< E.g. "page: availability burns 14.4x over 1h and 5m".
};

/** Counts of all services, merged over the nodes that answered.

    A node counts from its own start and keeps nothing, so a replaced node's counts are lost; the report names
   the nodes that answered and the shortest time that any of them has counted.
    @see write_burn_text, write_burn_json, write_burn_html
*/
class burn_report {
public:
    /** Adds the answer of a node's `GET /burn`. Fails with a `std::string` message on malformed text. */
    boost::leaf::result<void> add_node(std::string_view json);

    /** Notes a node that did not answer. */
    void add_missing(std::string address) { missing_.push_back(std::move(address)); }

    [[nodiscard]] const std::map<std::string, service_burn>& services() const { return services_; }
    [[nodiscard]] std::span<const std::string> nodes() const { return nodes_; }
    [[nodiscard]] std::span<const std::string> missing() const { return missing_; }

    /** Seconds since the start of the node that started last. */
    [[nodiscard]] double shortest_uptime_seconds() const { return shortest_uptime_seconds_; }

    /** Burn rates, budget left and alerts of one service. */
    [[nodiscard]] static service_use use_of(const service_burn& it);

private:
    std::map<std::string, service_burn> services_;
    std::vector<std::string> nodes_;
    std::vector<std::string> missing_;
    double shortest_uptime_seconds_{0};
};

} // namespace berylcrank
