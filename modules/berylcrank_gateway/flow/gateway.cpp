#include "modules/berylcrank_gateway/flow/gateway.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

constexpr millis rate_interval{100}; // between updates of the drain rates
constexpr double rate_weight = 0.2;  // of the newest interval

} // namespace

void gateway::handle(const exchange_ptr& it) {
    if (!it->is_behind()) {
        start_flow(it);
        return;
    }
    // Requests behind others run side by side with them if they may be repeated; others wait for their turn.
    const auto* host = find_header(it->head.headers, "Host");
    const auto route = node_.routes.find(host == nullptr ? "" : *host, it->head.target);
    if (route && !is_idempotent(route->rule)) {
        answer_unavailable(it, node_);
        return;
    }
    start_flow(it);
}

void gateway::start_flow(const exchange_ptr& it) {
    const auto* host = find_header(it->head.headers, "Host");
    const auto path = std::string_view(it->head.target).substr(0, it->head.target.find('?'));
    if (!node_.routes.ready()) {
        answer_unavailable(it, node_);
        return;
    }
    auto route = node_.routes.find(host == nullptr ? "" : *host, path);
    if (!route || route->parts.empty()) {
        node_.log.line("no-route").field("path", path).field("version", node_.routes.version()).send();
        node_.metrics.response("none", "no-route", -1);
        it->respond(404, reason_phrase(404), {}, "");
        return;
    }
    auto service = node_.split.pick(route->name, route->parts).service;
    const auto number = next_number_++;
    const auto flow =
        std::make_shared<request_flow>(*this, node_, it, std::move(route), std::move(service), number);
    flows_[number] = flow;
    flow->start();
}

void gateway::answer_unavailable(const exchange_ptr& it, const node_state& node) {
    it->respond(503, reason_phrase(503), {{node.wire.headers().retry_after, "0.2"}}, "");
}

void gateway::tick(instant now) {
    update_rates(now);
    send_waiting();
    for (const auto& it : node_.waiting.expired(now)) {
        const auto flow = flows_.find(it.number);
        if (flow != flows_.end()) {
            const auto keep = flow->second;
            keep->refuse("waited-too-long");
        }
    }
    std::vector<std::shared_ptr<request_flow>> flows;
    flows.reserve(flows_.size());
    for (const auto& [number, it] : flows_) {
        flows.push_back(it);
    }
    for (const auto& it : flows) {
        it->check_time(now);
    }
    done_.clear();
}

void gateway::send_waiting() {
    for (const auto& service : node_.waiting.services()) {
        while (const auto front = node_.waiting.front(service)) {
            const auto found = flows_.find(front->number);
            if (found == flows_.end()) {
                node_.waiting.erase(front->number);
                continue;
            }
            const auto flow = found->second;
            const auto picked = flow->pick();
            if (!picked.it) {
                break;
            }
            node_.waiting.erase(front->number);
            flow->send(picked);
        }
    }
}

void gateway::update_rates(instant now) {
    const auto passed = now - rates_at_;
    if (passed < rate_interval) {
        return;
    }
    rates_at_ = now;
    for (auto& [service, it] : rates_) {
        it.per_second += rate_weight * (it.since_update / passed.value() * 1000 - it.per_second);
        it.since_update = 0;
    }
}

void gateway::drained(const std::string& service) {
    rates_[service].since_update += 1;
}

double gateway::drained_per_second(const std::string& service) const {
    const auto it = rates_.find(service);
    return it == rates_.end() ? 0 : it->second.per_second;
}

void gateway::ended(std::uint64_t number) {
    const auto it = flows_.find(number);
    if (it != flows_.end()) {
        done_.push_back(std::move(it->second)); // freed by the next tick, not within its own call
        flows_.erase(it);
    }
}

} // namespace berylcrank
