#include "modules/berylcrank_node/control/status_pages.h"

#include "modules/berylcrank_node/request/order_responder.h"
#include "modules/berylcrank_report/berylcrank_report.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace berylcrank {

namespace {

constexpr int status_unavailable = 503;

// Maximum number of ticket outcomes on the status page.
constexpr std::size_t max_shown_tickets = 200;

http_response json_response(const nlohmann::json& it) {
    return {.head = {.status = 200, .headers = {{"Content-Type", "application/json"}}},
            .body = it.dump() + "\n"};
}

http_response text_response(int status, std::string text) {
    return {.head = {.status = status, .headers = {{"Content-Type", "text/plain; version=0.0.4"}}},
            .body = std::move(text)};
}

std::string query_value(std::string_view query, std::string_view key) {
    for (const auto field : absl::StrSplit(absl::string_view{query.data(), query.size()}, '&')) {
        const std::pair<absl::string_view, absl::string_view> it =
            absl::StrSplit(field, absl::MaxSplits('=', 1));
        if (std::string_view(it.first.data(), it.first.size()) == key) {
            return std::string(it.second);
        }
    }
    return {};
}

std::string_view state_name(peer_state it) {
    switch (it) {
    case peer_state::alive:
        return "alive";
    case peer_state::silent:
        return "silent";
    case peer_state::leaving:
        return "leaving";
    case peer_state::gone:
        return "gone";
    }
    return "gone";
}

nlohmann::json member_json(const peer_member& it) {
    return {{"vm", it.info.vm},
            {"incarnation", to_hex(it.info.run)},
            {"failure_domain", it.info.failure_domain},
            {"http_address", it.info.http_address},
            {"state", state_name(it.state)},
            {"self", it.is_self}};
}

nlohmann::json outcome_json(const ticket_outcome& it) {
    return {{"number", it.number},
            {"offset", it.offset},
            {"digest", absl::StrCat(absl::Hex(it.digest, absl::kZeroPad16))},
            {"outcome", it.accepted ? "accepted" : "rejected"},
            {"reason", it.reason}};
}

service_burn burn_of(const service_config& config, const burn_counter& counter, instant now) {
    service_burn out{.latency_objective_ms = config.latency_objective.value(),
                     .latency_objective_percent = config.latency_objective_percent,
                     .availability_objective_percent = config.availability_objective_percent};
    for (std::size_t n = 0; n < burn_window_count; ++n) {
        out.windows[n] = counter.window(static_cast<burn_window>(n), now);
    }
    out.since_start = counter.since_start();
    out.in_domain_change = counter.in_domain_change();
    return out;
}

} // namespace

std::optional<http_response> status_pages::find(const http_request& it) const {
    const std::string_view path_and_query = it.path;
    const auto split = std::min(path_and_query.find('?'), path_and_query.size());
    const auto path = path_and_query.substr(0, split);
    const auto query = split == path_and_query.size() ? std::string_view{} : path_and_query.substr(split + 1);
    if (path == "/address") {
        return addresses(query);
    }
    if (path == "/status") {
        return status();
    }
    if (path == "/burn") {
        return burn();
    }
    if (path == "/ready") {
        return ready();
    }
    if (path == "/live") {
        return text_response(200, "live\n");
    }
    if (path == "/metrics") {
        return text_response(200, deps_.metrics.text(deps_.counters));
    }
    return std::nullopt;
}

http_response status_pages::addresses(std::string_view query) const {
    const auto it = deps_.addresses.select(query_value(query, "failure_domain"));
    return json_response({{"addresses", it.addresses},
                          {"keep_ms", it.address_ttl.count()},
                          {"id_prefix", fresh_prefix(deps_.minter, deps_.time)},
                          {"id_prefix_home", options_.http_address},
                          {"id_prefix_use_ms", options_.id_prefix_lifetime.count()}});
}

http_response status_pages::status() const {
    const auto reason = deps_.unready_reason();
    const auto config = deps_.config.summary(max_shown_tickets);
    auto tickets = nlohmann::json::array();
    for (const auto& it : config.outcomes) {
        tickets.push_back(outcome_json(it));
    }
    auto peers = nlohmann::json::array();
    for (const auto& it : deps_.peers.members(deps_.time.now())) {
        peers.push_back(member_json(it));
    }
    return json_response({{"vm", options_.vm},
                          {"incarnation", to_hex(options_.self)},
                          {"failure_domain", options_.failure_domain},
                          {"ready", reason.empty()},
                          {"reason", reason},
                          {"freshness", deps_.freshness()},
                          {"applied_offset", config.applied},
                          {"state_digest", absl::StrCat(absl::Hex(config.digest, absl::kZeroPad16))},
                          {"floor", config.floor},
                          {"has_gap", config.has_gap},
                          {"tickets", tickets},
                          {"peers", peers}});
}

http_response status_pages::burn() const {
    const auto now = deps_.time.now();
    auto services = nlohmann::json::object();
    deps_.services.for_each([&](const std::string& name, service_entry& it) {
        const auto counts = burn_of(*it.get_config(), it.metrics.burn, now);
        services[name] = nlohmann::json::parse(write_service_burn(counts));
    });
    return json_response(
        {{"vm", options_.vm}, {"uptime_seconds", now.since_start().value() / 1000}, {"services", services}});
}

http_response status_pages::ready() const {
    const auto reason = deps_.unready_reason();
    return reason.empty() ? text_response(200, "ready\n") : text_response(status_unavailable, reason + "\n");
}

} // namespace berylcrank
