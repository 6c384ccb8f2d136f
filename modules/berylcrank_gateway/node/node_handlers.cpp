#include "modules/berylcrank_gateway/node/node_handlers.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::string_view state_path = "/state";

std::string_view path_of(const exchange& it) {
    return std::string_view(it.head.target).substr(0, it.head.target.find('?'));
}

std::string query_value(const exchange& it, std::string_view name) {
    const auto at = it.head.target.find('?');
    if (at == std::string::npos) {
        return {};
    }
    for (const absl::string_view part :
         absl::StrSplit(absl::string_view(it.head.target).substr(at + 1), '&')) {
        const std::pair<absl::string_view, absl::string_view> pair =
            absl::StrSplit(part, absl::MaxSplits('=', 1));
        if (pair.first == absl::string_view(name.data(), name.size())) {
            return std::string(pair.second);
        }
    }
    return {};
}

void respond_not_found(const exchange_ptr& it) {
    it->respond(404, reason_phrase(404), {}, "");
}

} // namespace

void ready_handler::handle(const exchange_ptr& it) {
    if (path_of(*it) != node_.options.ready_path) {
        respond_not_found(it);
        return;
    }
    const int status = ready_() ? 200 : 503;
    it->respond(status, reason_phrase(status), {}, "");
}

std::vector<std::string> directory_handler::addresses(std::string_view failure_domain, instant now) const {
    std::vector<std::string> all;
    std::vector<std::string> local;
    const auto add = [&](const node_info& it) {
        all.push_back(it.front_address);
        if (it.failure_domain == failure_domain) {
            local.push_back(it.front_address);
        }
    };
    if (ready_()) {
        add(node_.peers.self());
    }
    for (const auto* it : node_.peers.live(now)) {
        // The state of distant nodes is seconds old, and their callers ask nodes near them first.
        if (it->ready && !it->info.front_address.empty() &&
            node_.peers.relation(*it) != peer_relation::distant) {
            add(it->info);
        }
    }
    auto result = local.size() >= min_local_nodes ? local : all;
    for (std::size_t i = result.size(); i > 1; --i) {
        std::swap(result[i - 1], result[node_.random.below(i)]);
    }
    result.resize(std::min(result.size(), max_addresses));
    return result;
}

void directory_handler::handle(const exchange_ptr& it) {
    if (path_of(*it) != node_.options.directory_path) {
        respond_not_found(it);
        return;
    }
    const auto list = addresses(query_value(*it, "zone"), node_.time.now());
    if (list.empty()) {
        it->respond(503, reason_phrase(503), {}, "");
        return;
    }
    it->respond(200, reason_phrase(200), {{"Content-Type", std::string(node_.wire.content_type())}},
                node_.wire.write_addresses(list, node_.options.address_ttl));
}

std::string state_target(const std::array<store_position, record_source_count>& from) {
    return absl::StrCat(std::string(state_path), "?operators=", from[0].offset,
                        "&operators-epoch=", from[0].epoch, "&upstreams=", from[1].offset,
                        "&upstreams-epoch=", from[1].epoch);
}

void state_handler::handle(const exchange_ptr& it) {
    if (it->head.target == nodes_target) {
        std::vector<node_info> nodes{node_.peers.self()};
        for (const auto* peer : node_.peers.live(node_.time.now())) {
            nodes.push_back(peer->info);
        }
        it->respond(200, reason_phrase(200), {}, encode(nodes));
        return;
    }
    std::array<store_position, record_source_count> from{};
    if (path_of(*it) != state_path || !absl::SimpleAtoi(query_value(*it, "operators"), &from[0].offset) ||
        !absl::SimpleAtoi(query_value(*it, "operators-epoch"), &from[0].epoch) ||
        !absl::SimpleAtoi(query_value(*it, "upstreams"), &from[1].offset) ||
        !absl::SimpleAtoi(query_value(*it, "upstreams-epoch"), &from[1].epoch)) {
        respond_not_found(it);
        return;
    }
    it->respond(200, reason_phrase(200), {}, encode(follower_.state_since(from, node_.time.now())));
}

void control_handler::handle(const exchange_ptr& it) {
    const auto now = node_.time.now();
    if (path_of(*it) == "/metrics") {
        node_.metrics.set_gauge("operators_age_seconds",
                                follower_.age(record_source::operators, now).value() / 1000);
        node_.metrics.set_gauge("upstreams_age_seconds",
                                follower_.age(record_source::upstreams, now).value() / 1000);
        node_.metrics.set_gauge("store_epoch", static_cast<double>(follower_.epoch()));
        node_.metrics.set_gauge("store_epochs_invalid", static_cast<double>(follower_.invalid_epochs()));
        node_.metrics.set_gauge("store_results_late", static_cast<double>(follower_.late_results()));
        node_.metrics.set_gauge("config_version", static_cast<double>(node_.routes.version()));
        node_.metrics.set_gauge("live_nodes", static_cast<double>(node_.peers.live(now).size() + 1));
        node_.metrics.set_gauge("upstreams", static_cast<double>(node_.upstreams.all().size()));
        node_.metrics.set_gauge("flows", static_cast<double>(active_flows_()));
        node_.metrics.set_gauge("slots_held", static_cast<double>(node_.loads.own_in_flight()));
        node_.metrics.set_gauge("waiting_requests", static_cast<double>(node_.waiting.size()));
        node_.metrics.set_gauge("suspects", static_cast<double>(node_.suspects.size()));
        node_.metrics.set_gauge("suspect_losses", static_cast<double>(node_.suspects.losses()));
        node_.metrics.set_gauge("suspects_untracked", static_cast<double>(node_.suspects.untracked()));
        node_.metrics.set_gauge("suspect_refusals", static_cast<double>(node_.suspects.refusals()));
        node_.metrics.set_gauge("suspect_false_refusals",
                                static_cast<double>(node_.suspects.false_refusals()));
        node_.metrics.set_gauge("unreadable_datagrams", static_cast<double>(unreadable_datagrams_()));
        node_.metrics.set_gauge("log_lines_left_out", static_cast<double>(node_.log.dropped_lines()));
        it->respond(200, reason_phrase(200), {{"Content-Type", "text/plain; version=0.0.4"}},
                    node_.metrics.text());
        return;
    }
    if (path_of(*it) == "/status") {
        it->respond(200, reason_phrase(200), {{"Content-Type", "application/json"}},
                    absl::StrCat("{\"version\":", node_.routes.version(),
                                 ",\"upstreams\":", node_.upstreams.all().size(), ",\"nodes\":",
                                 node_.peers.live(now).size() + 1, ",\"waiting\":", node_.waiting.size(),
                                 ",\"store_epoch\":", follower_.epoch(),
                                 ",\"store_lost\":", follower_.store_lost() ? "true" : "false", "}\n"));
        return;
    }
    respond_not_found(it);
}

} // namespace berylcrank
