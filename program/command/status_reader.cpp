#include "program/command/status_reader.h"

#include "modules/berylcrank_http/client/http_fetch.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

namespace berylcrank {

namespace {

constexpr millis node_timeout{3000};

void parse_status(const std::string& text, node_status& out) {
    const auto json = nlohmann::json::parse(text);
    out.vm = json.at("vm").get<std::string>();
    out.is_ready = json.at("ready").get<bool>();
    out.reason = json.at("reason").get<std::string>();
    out.applied_offset = json.at("applied_offset").get<std::uint64_t>();
    out.state_digest = json.at("state_digest").get<std::string>();
    for (const auto& ticket : json.at("tickets")) {
        out.tickets.push_back({.number = ticket.at("number").get<std::uint64_t>(),
                               .offset = ticket.at("offset").get<std::uint64_t>(),
                               .outcome = ticket.at("outcome").get<std::string>(),
                               .reason = ticket.at("reason").get<std::string>()});
    }
}

node_status read_status(const std::string& address) {
    node_status status{.address = address};
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(text, http_fetch(address, "/status", node_timeout));
            try {
                parse_status(text, status);
            } catch (const nlohmann::json::exception& error) {
                return boost::leaf::new_error(std::string("malformed status: ") + error.what());
            }
            return {};
        },
        [&](const std::string& message) { status.error = message; }, [&] { status.error = "unknown error"; });
    return status;
}

} // namespace

std::vector<node_status> read_statuses(std::span<const std::string> addresses) {
    std::vector<node_status> statuses;
    statuses.reserve(addresses.size());
    for (const auto& address : addresses) {
        statuses.push_back(read_status(address));
    }
    return statuses;
}

status_summary summarize(std::span<const node_status> nodes, std::uint64_t ticket) {
    status_summary summary;
    const std::string* digest = nullptr;
    for (const auto& node : nodes) {
        if (!node.error.empty()) {
            continue;
        }
        ++summary.responded;
        summary.digests_match = summary.digests_match && (digest == nullptr || *digest == node.state_digest);
        digest = &node.state_digest;
        const auto it =
            std::ranges::find_if(node.tickets, [&](const ticket_status& t) { return t.number == ticket; });
        if (it == node.tickets.end()) {
            ++summary.unseen;
        } else if (it->outcome == "accepted") {
            ++summary.in_force;
        } else {
            ++summary.rejected;
        }
    }
    return summary;
}

} // namespace berylcrank
