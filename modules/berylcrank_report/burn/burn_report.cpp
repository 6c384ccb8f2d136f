#include "modules/berylcrank_report/burn/burn_report.h"

#include "absl/strings/str_format.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace berylcrank {

namespace {

/** Raises an alert while the burn rate reaches the threshold in both windows. The short window ends the
    alert soon after the fault is over. */
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

burn_counts read_counts(const nlohmann::json& json) {
    burn_counts counts;
    for (std::size_t n = 0; n < burn_event_count; ++n) {
        counts.events[n] = json.at(std::string(to_string(static_cast<burn_event>(n)))).get<std::uint64_t>();
    }
    return counts;
}

service_burn read_service(const nlohmann::json& json) {
    service_burn service;
    service.latency_objective_ms = json.at("latency_objective_ms").get<double>();
    service.latency_objective_percent = json.at("latency_objective_percent").get<double>();
    service.availability_objective_percent = json.at("availability_objective_percent").get<double>();
    for (std::size_t n = 0; n < burn_window_count; ++n) {
        service.windows[n] =
            read_counts(json.at("windows").at(std::string(to_string(static_cast<burn_window>(n)))));
    }
    service.since_start = read_counts(json.at("since_start"));
    service.in_domain_change = read_counts(json.at("in_domain_change"));
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

budget_use compute_use(std::uint64_t bad, std::uint64_t total, double objective_percent) {
    const double bad_share = total == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(total);
    // An objective of 100 % leaves no error budget; a minimum keeps the burn rate finite.
    constexpr double min_allowed_share = 1e-6;
    const double allowed_share = std::max(1 - objective_percent / 100, min_allowed_share);
    return {.bad_share = bad_share, .burn_rate = bad_share / allowed_share};
}

void add_alerts(const std::array<budget_use, burn_window_count>& uses, const char* objective,
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
        return boost::leaf::new_error(std::string("malformed burn counts: ") + it.what());
    }
}

service_budget_use burn_report::compute_budget_use(const service_burn& service) {
    service_budget_use result;
    for (std::size_t n = 0; n < burn_window_count; ++n) {
        const auto& counts = service.windows[n];
        result.availability[n] = compute_use(counts.total() - counts.completed(), counts.total(),
                                             service.availability_objective_percent);
        result.latency[n] = compute_use(counts.count(burn_event::slow), counts.completed(),
                                        service.latency_objective_percent);
    }
    result.availability_budget_left = 1 - result.availability.back().burn_rate;
    result.latency_budget_left = 1 - result.latency.back().burn_rate;
    add_alerts(result.availability, "availability", result.alerts);
    add_alerts(result.latency, "latency", result.alerts);
    return result;
}

} // namespace berylcrank
