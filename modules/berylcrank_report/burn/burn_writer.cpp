#include "modules/berylcrank_report/burn/burn_writer.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace berylcrank {

namespace {

nlohmann::json counts_json(const burn_counts& counts) {
    nlohmann::json json;
    for (std::size_t n = 0; n < burn_event_count; ++n) {
        json[std::string(to_string(static_cast<burn_event>(n)))] = counts.events[n];
    }
    return json;
}

nlohmann::json service_json(const service_burn& service) {
    nlohmann::json json{{"latency_objective_ms", service.latency_objective_ms},
                        {"latency_objective_percent", service.latency_objective_percent},
                        {"availability_objective_percent", service.availability_objective_percent},
                        {"since_start", counts_json(service.since_start)},
                        {"in_domain_change", counts_json(service.in_domain_change)}};
    for (std::size_t n = 0; n < burn_window_count; ++n) {
        json["windows"][std::string(to_string(static_cast<burn_window>(n)))] =
            counts_json(service.windows[n]);
    }
    return json;
}

nlohmann::json uses_json(const std::array<budget_use, burn_window_count>& uses, double budget_left) {
    nlohmann::json json{{"budget_left", budget_left}};
    for (std::size_t n = 0; n < burn_window_count; ++n) {
        json["windows"][std::string(to_string(static_cast<burn_window>(n)))] = {
            {"bad_share", uses[n].bad_share}, {"burn_rate", uses[n].burn_rate}};
    }
    return json;
}

std::string rates_text(const std::array<budget_use, burn_window_count>& uses) {
    std::string text;
    for (std::size_t n = 0; n < burn_window_count; ++n) {
        absl::StrAppendFormat(&text, "  %s %.2fx", std::string(to_string(static_cast<burn_window>(n))),
                              uses[n].burn_rate);
    }
    return text;
}

std::string counts_text(const burn_counts& counts) {
    std::string text = absl::StrFormat("%d requests", counts.total());
    for (std::size_t n = 0; n < burn_event_count; ++n) {
        absl::StrAppendFormat(&text, ", %d %s", counts.events[n],
                              std::string(to_string(static_cast<burn_event>(n))));
    }
    return text;
}

std::string coverage_text(const burn_report& report) {
    auto text = absl::StrFormat("%d nodes responded (%s); shortest uptime %.0f s", report.nodes().size(),
                                absl::StrJoin(report.nodes(), ", "), report.shortest_uptime_seconds());
    if (!report.missing().empty()) {
        absl::StrAppend(&text, "\nno response from: ", absl::StrJoin(report.missing(), ", "));
    }
    return text + "\ncounts of nodes that were stopped or replaced are not included";
}

std::string escape_html(std::string_view text) {
    std::string out;
    for (const char it : text) {
        switch (it) {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += it;
        }
    }
    return out;
}

/** Returns an SVG bar chart of the burn rate per window. The dashed line marks rate 1. */
std::string plot_html(const std::array<budget_use, burn_window_count>& uses, std::string_view title) {
    constexpr double height = 90;
    constexpr double bar_width = 40;
    double top = 2;
    for (const auto& it : uses) {
        top = std::max(top, it.burn_rate);
    }
    std::string svg = absl::StrFormat("<figure><figcaption>%s</figcaption><svg width=\"300\" height=\"130\">",
                                      std::string(title));
    for (std::size_t n = 0; n < burn_window_count; ++n) {
        const double bar = uses[n].burn_rate / top * height;
        const double left = 20 + static_cast<double>(n) * (bar_width + 12);
        absl::StrAppendFormat(&svg,
                              "<rect x=\"%.0f\" y=\"%.1f\" width=\"%.0f\" height=\"%.1f\" fill=\"%s\"/>"
                              "<text x=\"%.0f\" y=\"125\" font-size=\"11\">%s</text>"
                              "<text x=\"%.0f\" y=\"%.1f\" font-size=\"10\">%.2f</text>",
                              left, 110 - bar, bar_width, bar, uses[n].burn_rate > 1 ? "#b3261e" : "#3a6ea5",
                              left, std::string(to_string(static_cast<burn_window>(n))), left, 106 - bar,
                              uses[n].burn_rate);
    }
    const double limit = 110 - height / top;
    absl::StrAppendFormat(&svg,
                          "<line x1=\"10\" y1=\"%.1f\" x2=\"290\" y2=\"%.1f\" stroke=\"#444\" "
                          "stroke-dasharray=\"4\"/></svg></figure>",
                          limit, limit);
    return svg;
}

} // namespace

std::string write_service_burn(const service_burn& service) {
    return service_json(service).dump();
}

std::string write_burn_text(const burn_report& report) {
    std::string text = coverage_text(report) + "\n";
    for (const auto& [name, service] : report.services()) {
        const auto use = burn_report::compute_budget_use(service);
        absl::StrAppendFormat(&text, "\n%s\n  since start: %s\n", name, counts_text(service.since_start));
        absl::StrAppendFormat(&text, "  while a failure domain was out of use or had just returned: %s\n",
                              counts_text(service.in_domain_change));
        absl::StrAppendFormat(&text, "  availability %.3g %%: %.1f %% of the budget left; burn rate%s\n",
                              service.availability_objective_percent, use.availability_budget_left * 100,
                              rates_text(use.availability));
        absl::StrAppendFormat(&text,
                              "  latency %.3g %% within %.0f ms: %.1f %% of the budget left; burn rate%s\n",
                              service.latency_objective_percent, service.latency_objective_ms,
                              use.latency_budget_left * 100, rates_text(use.latency));
        for (const auto& alert : use.alerts) {
            absl::StrAppend(&text, "  ALERT ", alert, "\n");
        }
    }
    return text;
}

std::string write_burn_json(const burn_report& report) {
    nlohmann::json json{{"nodes", report.nodes()},
                        {"missing", report.missing()},
                        {"shortest_uptime_seconds", report.shortest_uptime_seconds()},
                        {"services", nlohmann::json::object()}};
    for (const auto& [name, service] : report.services()) {
        const auto use = burn_report::compute_budget_use(service);
        auto& out = json["services"][name];
        out = service_json(service);
        out["availability"] = uses_json(use.availability, use.availability_budget_left);
        out["latency"] = uses_json(use.latency, use.latency_budget_left);
        out["alerts"] = use.alerts;
    }
    return json.dump(2) + "\n";
}

std::string write_burn_html(const burn_report& report) {
    std::string html =
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>Error budgets</title>"
        "<style>body{font:14px sans-serif;margin:2em}figure{display:inline-block;margin:0 1em}"
        ".alert{color:#b3261e;font-weight:bold}</style></head><body><h1>Error budgets</h1><pre>";
    absl::StrAppend(&html, escape_html(coverage_text(report)), "</pre>");
    for (const auto& [name, service] : report.services()) {
        const auto use = burn_report::compute_budget_use(service);
        absl::StrAppend(&html, "<h2>", escape_html(name), "</h2>");
        for (const auto& alert : use.alerts) {
            absl::StrAppend(&html, "<p class=\"alert\">", escape_html(alert), "</p>");
        }
        absl::StrAppendFormat(&html, "<p>Budget left: availability %.1f %%, latency %.1f %%.</p>",
                              use.availability_budget_left * 100, use.latency_budget_left * 100);
        absl::StrAppend(&html, "<p>Since start: ", counts_text(service.since_start),
                        "</p><p>While a failure domain was out of use or had just returned: ",
                        counts_text(service.in_domain_change), "</p>");
        absl::StrAppend(&html, plot_html(use.availability, "availability burn rate"),
                        plot_html(use.latency, "latency burn rate"));
    }
    return html + "</body></html>\n";
}

} // namespace berylcrank
