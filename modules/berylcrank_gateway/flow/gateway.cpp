#include "modules/berylcrank_gateway/flow/gateway.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

constexpr millis rate_interval{100};    // between updates of the rates
constexpr double drain_weight = 0.2;    // of the newest interval in the rate of ended requests
constexpr double arrival_weight = 0.07; // the same in that of arriving ones: nodes share slots by it

} // namespace

void gateway::handle(const exchange_ptr& it) {
    if (!it->is_behind()) {
        start_flow(it);
        return;
    }
    // Requests behind others run side by side with them if they may be repeated; others wait for their turn.
    const auto* host = find_header(it->head.headers, "Host");
    const auto route = node_.routes.find(host == nullptr ? "" : *host, it->head.target);
    if (route && !is_idempotent(route->kind)) {
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
    for (const auto& service : node_.waiting.services()) {
        send_waiting(service);
    }
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

void gateway::send_waiting(const std::string& service) {
    while (send_first(service)) {
    }
}

bool gateway::send_first(const std::string& service) {
    for (const auto& it : node_.waiting.fronts(service)) {
        const auto found = flows_.find(it.number);
        if (found == flows_.end()) {
            node_.waiting.erase(it.number);
            return true;
        }
        const auto flow = found->second;
        const auto picked = flow->pick();
        if (picked.it) {
            node_.waiting.erase(it.number);
            flow->send(picked);
            return true;
        }
    }
    return false;
}

void gateway::bound_queue(const std::string& service, millis patience) {
    const auto most = max_queue_length(drained_per_second(service), patience);
    while (node_.waiting.count(service).on_time > static_cast<int>(most)) {
        const auto number = node_.waiting.oldest_on_time(service);
        const auto it = number ? flows_.find(*number) : flows_.end();
        if (it == flows_.end()) {
            return;
        }
        const auto keep = it->second;
        keep->refuse("overtaken");
    }
}

void gateway::update_rates(instant now) {
    const auto passed = now - rates_at_;
    if (passed < rate_interval) {
        return;
    }
    rates_at_ = now;
    const auto update = [&](double& rate, double& count, double weight) {
        rate += weight * (count / passed.value() * 1000 - rate);
        count = 0;
    };
    for (auto& [service, it] : rates_) {
        update(it.drained_per_second, it.drained, drain_weight);
        update(it.arriving_per_second, it.arrived, arrival_weight);
    }
}

void gateway::drained(const std::string& service) {
    rates_[service].drained += 1;
}

double gateway::drained_per_second(const std::string& service) const {
    const auto it = rates_.find(service);
    return it == rates_.end() ? 0 : it->second.drained_per_second;
}

void gateway::arrived(const std::string& service) {
    rates_[service].arrived += 1;
}

int gateway::arriving_per_second(const std::string& service) const {
    const auto it = rates_.find(service);
    return it == rates_.end() ? 0 : static_cast<int>(std::lround(it->second.arriving_per_second));
}

void gateway::ended(std::uint64_t number) {
    const auto it = flows_.find(number);
    if (it != flows_.end()) {
        done_.push_back(std::move(it->second)); // freed by the next tick, not within its own call
        flows_.erase(it);
    }
}

} // namespace berylcrank
