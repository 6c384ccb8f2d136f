#include "modules/berylcrank_report/burn/burn_report.h"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace berylcrank {

namespace {

/** A pair of windows that must both exceed a burn rate; the short one ends the alert soon after the fault. */
struct alert_rule {
    const char* action;
    double burn_rate;
    burn_window long_window;
    burn_window short_window;
};

// Site Reliability Workbook, chapter 5, table 5-8, for an objective over 30 days.
constexpr std::array<alert_rule, 3> alert_rules{{
    {"page", 14.4, burn_window::one_hour, burn_window::five_minutes},
    {"page", 6, burn_window::six_hours, burn_window::half_hour},
    {"ticket", 1, burn_window::three_days, burn_window::six_hours},
}};

burn_counts read_counts(const nlohmann::json& it) {
    burn_counts counts;
    for (std::size_t n = 0; n < burn_event_count; ++n) {
        counts.events[n] = it.at(std::string(to_string(static_cast<burn_event>(n)))).get<std::uint64_t>();
    }
    return counts;
}

service_burn read_service(const nlohmann::json& it) {
    service_burn service;
    service.latency_objective_ms = it.at("latency_objective_ms").get<double>();
    service.latency_objective_percent = it.at("latency_objective_percent").get<double>();
    service.availability_objective_percent = it.at("availability_objective_percent").get<double>();
    for (std::size_t n = 0; n < burn_window_count; ++n) {
        service.windows[n] =
            read_counts(it.at("windows").at(std::string(to_string(static_cast<burn_window>(n)))));
    }
    service.since_start = read_counts(it.at("since_start"));
    service.in_domain_change = read_counts(it.at("in_domain_change"));
    return service;
}

void merge(service_burn& into, const service_burn& from, double uptime_seconds) {
    into.latency_objective_ms = from.latency_objective_ms;
    into.latency_objective_percent = from.latency_objective_percent;
    into.availability_objective_percent = from.availability_objective_percent;
    for (std::size_t n = 0; n < burn_window_count; ++n) {
        into.windows[n].add(from.windows[n]);
    }
    into.since_start.add(from.since_start);
    into.in_domain_change.add(from.in_domain_change);
    into.uptime_seconds = std::max(into.uptime_seconds, uptime_seconds);
}

objective_use use(std::uint64_t bad, std::uint64_t all, double objective_percent) {
    const double bad_share = all == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(all);
    // An objective of 100 % allows nothing; a tiny allowance keeps the rate finite.
    constexpr double least_allowed_share = 1e-6;
    const double allowed_share = std::max(1 - objective_percent / 100, least_allowed_share);
    return {.bad_share = bad_share, .burn_rate = bad_share / allowed_share};
}

void add_alerts(const std::array<objective_use, burn_window_count>& uses, const char* objective,
                std::vector<std::string>& alerts) {
    for (const auto& rule : alert_rules) {
        const auto rate = [&](burn_window it) { return uses[static_cast<std::size_t>(it)].burn_rate; };
        if (rate(rule.long_window) >= rule.burn_rate && rate(rule.short_window) >= rule.burn_rate) {
            alerts.push_back(absl::StrFormat(
                "%s: %s burns at least %.3gx over %s and %s", rule.action, objective, rule.burn_rate,
                std::string(to_string(rule.long_window)), std::string(to_string(rule.short_window))));
        }
    }
}

} // namespace

boost::leaf::result<void> burn_report::add_node(std::string_view json) {
    try {
        const auto node = nlohmann::json::parse(json);
        const auto uptime_seconds = node.at("uptime_seconds").get<double>();
        std::map<std::string, service_burn> read;
        for (const auto& [name, it] : node.at("services").items()) {
            read[name] = read_service(it);
        }
        for (const auto& [name, it] : read) {
            merge(services_[name], it, uptime_seconds);
        }
        shortest_uptime_seconds_ =
            nodes_.empty() ? uptime_seconds : std::min(shortest_uptime_seconds_, uptime_seconds);
        nodes_.push_back(node.at("vm").get<std::string>());
        return {};
    } catch (const nlohmann::json::exception& it) {
        return boost::leaf::new_error(std::string("burn counts cannot be read: ") + it.what());
    }
}

service_use burn_report::use_of(const service_burn& it) {
    service_use result;
    for (std::size_t n = 0; n < burn_window_count; ++n) {
        const auto& counts = it.windows[n];
        result.availability[n] =
            use(counts.total() - counts.answered(), counts.total(), it.availability_objective_percent);
        result.latency[n] = use(counts.of(burn_event::slow), counts.answered(), it.latency_objective_percent);
    }
    result.availability_budget_left = 1 - result.availability.back().burn_rate;
    result.latency_budget_left = 1 - result.latency.back().burn_rate;
    add_alerts(result.availability, "availability", result.alerts);
    add_alerts(result.latency, "latency", result.alerts);
    return result;
}

} // namespace berylcrank
