#include "modules/berylcrank_gateway/flow/gateway.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace berylcrank {

namespace {

constexpr millis rate_interval{100}; // between updates of the moving averages
// Weight of the newest interval in the moving average of the completion rate.
constexpr double completion_weight = 0.2;
// Weight of the newest interval in the moving average of the arrival rate, by which nodes share slots.
constexpr double arrival_weight = 0.07;

std::string_view path_of(const request_head& head) {
    return std::string_view(head.target).substr(0, head.target.find('?'));
}

} // namespace

void gateway::handle(const exchange_ptr& it) {
    if (!node_.routes.ready()) {
        respond_unavailable(it, node_);
        return;
    }
    auto route = find_route(it->head, node_);
    // Comes before the response to an absent route, which would tell callers without a key what routes exist.
    if (!node_.check_access(it->head.headers, route.get()).allowed) {
        const auto* id = find_header(it->head.headers, node_.wire.headers().request_id);
        node_.log.line("unauthorized")
            .field("request", id == nullptr ? "" : *id)
            .field("version", node_.routes.version())
            .send();
        node_.metrics.count_response("none", "unauthorized", -1);
        respond_unauthorized(it, node_);
        return;
    }
    // A pipelined request runs concurrently with the requests before it if it is idempotent; otherwise it is
    // refused and the caller can send it again.
    if (it->has_earlier_requests() && route && !is_idempotent(route->kind)) {
        respond_unavailable(it, node_);
        return;
    }
    start_flow(it, std::move(route));
}

std::shared_ptr<const route_entry> gateway::find_route(const request_head& head, const node_state& node) {
    const auto* host = find_header(head.headers, "Host");
    return node.routes.find(host == nullptr ? "" : *host, path_of(head));
}

void gateway::start_flow(const exchange_ptr& it, std::shared_ptr<const route_entry> route) {
    if (!route || route->parts.empty()) {
        node_.log.line("no-route")
            .field("path", path_of(it->head))
            .field("version", node_.routes.version())
            .send();
        node_.metrics.count_response("none", "no-route", -1);
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

void gateway::respond_unavailable(const exchange_ptr& it, const node_state& node) {
    it->respond(503, reason_phrase(503), {{node.wire.headers().retry_after, "0.2"}}, "");
}

void gateway::respond_unauthorized(const exchange_ptr& it, const node_state& node) {
    it->respond(401, reason_phrase(401),
                {{node.wire.headers().challenge, std::string(node.wire.challenge())}}, "");
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
    for (const auto& it : all_flows()) {
        it->check_timeouts(now);
    }
    finished_flows_.clear();
}

std::vector<std::shared_ptr<request_flow>> gateway::all_flows() const {
    std::vector<std::shared_ptr<request_flow>> result;
    result.reserve(flows_.size());
    for (const auto& [number, it] : flows_) {
        result.push_back(it);
    }
    return result;
}

bool gateway::stop_allows(stop_inputs in, instant now) const {
    if (!stop_) {
        return true;
    }
    in.since_stop = now - stop_->start;
    in.exit_in = stop_->exit - now;
    return may_send_while_stopping(in, node_.options.stops);
}

void gateway::send_waiting(const std::string& service) {
    while (send_next_waiting(service)) {
    }
}

bool gateway::send_next_waiting(const std::string& service) {
    for (const auto& it : node_.waiting.fronts(service)) {
        const auto found = flows_.find(it.number);
        if (found == flows_.end()) {
            node_.waiting.erase(it.number);
            return true;
        }
        const auto flow = found->second;
        if (flow->refuse_without_access() || flow->refuse_if_suspect()) {
            return true;
        }
        const auto picked = flow->pick();
        if (picked.it && !flow->may_use(node_.time.now())) {
            flow->request_token_in_queue();
            if (flow->done()) {
                return true;
            }
        }
        if (picked.it && flow->may_use(node_.time.now())) {
            node_.waiting.erase(it.number);
            flow->send(picked);
            return true;
        }
    }
    return false;
}

void gateway::limit_queue(const std::string& service, millis max_wait) {
    const auto limit = max_queue_length(completions_per_second(service), max_wait);
    while (node_.waiting.count(service).on_time > static_cast<int>(limit)) {
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
        update(it.completions_per_second, it.completions, completion_weight);
        update(it.arrivals_per_second, it.arrivals, arrival_weight);
    }
}

void gateway::count_completion(const std::string& service) {
    rates_[service].completions += 1;
}

double gateway::completions_per_second(const std::string& service) const {
    const auto it = rates_.find(service);
    return it == rates_.end() ? 0 : it->second.completions_per_second;
}

void gateway::count_arrival(const std::string& service) {
    rates_[service].arrivals += 1;
}

int gateway::arrivals_per_second(const std::string& service) const {
    const auto it = rates_.find(service);
    return it == rates_.end() ? 0 : static_cast<int>(std::lround(it->second.arrivals_per_second));
}

void gateway::log_unfinished() const {
    for (const auto& [number, it] : flows_) {
        it->log_unfinished();
    }
}

void gateway::remove_flow(std::uint64_t number) {
    const auto it = flows_.find(number);
    if (it != flows_.end()) {
        // The next tick destroys the flow, because one of its methods may be running.
        finished_flows_.push_back(std::move(it->second));
        flows_.erase(it);
    }
}

} // namespace berylcrank
