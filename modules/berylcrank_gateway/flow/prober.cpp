#include "modules/berylcrank_gateway/flow/prober.h"

#include <absl/strings/numbers.h>
#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::size_t max_health_body = 65536; // bytes
constexpr double unhealthy_weight = 0.3; // of a failed health check in the failure share: it may be wrong
constexpr int down_factor = 4;           // probes of an unreachable upstream are rarer by this factor
constexpr int spill_factor = 4;          // likewise of one of another cell, which is probed there as well
constexpr millis spill_memory{1500};     // for which upstreams of other cells are probed after their last use
constexpr int silent_factor = 5;         // likewise of one that tells no load
constexpr millis look_interval{50}; // longest between two looks for upstreams that this node has to probe

} // namespace

prober::prober(boost::asio::io_context& io, node_state& node)
    : node_(node), caller_(io, node.time, max_health_body) {}

void prober::tick(instant now) {
    caller_.check_time(now);
    if (now >= next_look_) {
        next_look_ = now + look_interval;
        look(now);
    }
}

void prober::look(instant now) {
    for (const auto& [name, service] : node_.routes.services()) {
        for (const auto& it : node_.subset.of_service(name, now)) {
            probe_if_due(it, service->health_path, now);
        }
        const auto used = node_.spilled.find(name);
        if (used == node_.spilled.end() || now - used->second > spill_memory) {
            continue;
        }
        for (const auto& it : node_.subset.spill_of_service(name, now)) {
            const auto* load = node_.loads.find(it->number);
            const bool stale =
                load == nullptr || now - load->report.at > node_.options.probe_interval * spill_factor;
            if (stale) {
                probe_if_due(it, service->health_path, now);
            }
        }
    }
}

bool prober::is_due(const upstream& it, instant now) {
    const auto& held = states_[it.number];
    if (held.running) {
        return false;
    }
    if (now < held.next) {
        next_look_ = std::min(next_look_, held.next);
        return false;
    }
    return node_.peers.owns(it.number, now) && node_.upstreams.usable(it);
}

void prober::probe_if_due(const upstream_ptr& it, const std::string& path, instant now) {
    if (is_due(*it, now)) {
        probe(it, path, now);
    }
}

void prober::probe(const upstream_ptr& it, const std::string& path, instant now) {
    auto& held = states_[it->number];
    const auto* load = node_.loads.find(it->number);
    const bool down = load != nullptr && load->down_until > now;
    const bool silent = load == nullptr || !load->reported;
    held.running = true;
    held.next = now + node_.options.probe_interval * (down ? down_factor : silent ? silent_factor : 1);
    call_request request{.address = it->entry.address,
                         .target = path,
                         .headers = {{node_.wire.headers().expected_upstream, it->entry.id}}};
    caller_.call(request, node_.options.probe_limit,
                 [this, it, now](const call_result& result) { took(it, result, now); });
}

void prober::took(const upstream_ptr& it, const call_result& result, instant sent) {
    auto& held = states_[it->number];
    held.running = false;
    next_look_ = std::min(next_look_, held.next);
    const auto now = node_.time.now();
    const auto& names = node_.wire.headers();
    if (!result.answered || result.head.status == 421) {
        node_.metrics.probe(result.answered ? "other-upstream" : result.timed_out ? "timed-out" : "failed");
        node_.loads.unreachable(it->number, now);
        return;
    }
    node_.metrics.probe(result.head.status == 200 ? "healthy" : "unhealthy");
    if (const auto* value = find_header(result.head.headers, names.load)) {
        if (auto report = node_.wire.read_load(*value)) {
            report->at = now;
            node_.loads.report(it->number, *report, true);
        }
    }
    if (result.head.status != 200) {
        node_.loads.outcome(it->number, {.bad = unhealthy_weight}, now, false);
        return;
    }
    node_.loads.reachable(it->number);
    const auto* cold = find_header(result.head.headers, names.cold_left);
    double ms = 0;
    if (cold != nullptr && !absl::SimpleAtod(*cold, &ms)) {
        ms = 0;
        node_.metrics.event("unreadable-warm-up");
    }
    if (sent >= it->cold_updated_at) {
        upstream_directory::set_cold(*it, millis::from_value(ms), now);
    }
}

} // namespace berylcrank
