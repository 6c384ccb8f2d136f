#include "modules/berylcrank_gateway/flow/prober.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr std::size_t max_health_body = 65536; // bytes
constexpr double unhealthy_weight = 0.3; // in the failure share; low because a health check can be wrong
constexpr int down_factor = 4;           // on the probe interval of an unreachable upstream
constexpr int spill_factor = 4; // on the probe interval of an upstream that its own cell probes as well
constexpr millis spill_probe_time{
    1500};                           // after their last use, upstreams of other cells are probed this long
constexpr int no_load_factor = 5;    // on the probe interval of an upstream that reports no load
constexpr millis check_interval{50}; // maximum time between two searches for due probes

} // namespace

prober::prober(boost::asio::io_context& io, node_state& node)
    : node_(node), client_(io, node.time, max_health_body) {}

void prober::tick(instant now) {
    client_.check_timeouts(now);
    if (now >= next_check_) {
        next_check_ = now + check_interval;
        check_upstreams(now);
    }
}

void prober::check_upstreams(instant now) {
    for (const auto& [name, service] : node_.routes.services()) {
        for (const auto& it : node_.subset.of_service(name, now)) {
            probe_if_due(it, service->health_path, now);
        }
        const auto used = node_.last_spill.find(name);
        if (used == node_.last_spill.end() || now - used->second > spill_probe_time) {
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
    const auto& state = states_[it.number];
    if (state.running) {
        return false;
    }
    if (now < state.next) {
        next_check_ = std::min(next_check_, state.next);
        return false;
    }
    const bool is_own =
        it.unverified || (now >= node_.membership_valid_from && node_.peers.owns(it.number, now));
    return it.paused_until <= now && is_own && node_.upstreams.usable(it);
}

void prober::probe_if_due(const upstream_ptr& it, const std::string& path, instant now) {
    if (is_due(*it, now)) {
        probe(it, path, now);
    }
}

void prober::probe(const upstream_ptr& it, const std::string& path, instant now) {
    auto& state = states_[it->number];
    const auto* load = node_.loads.find(it->number);
    const bool down = load != nullptr && load->down_until > now;
    const bool no_load = load == nullptr || !load->reported;
    state.running = true;
    state.next = now + node_.options.probe_interval * (down ? down_factor : no_load ? no_load_factor : 1);
    call_request request{.address = it->entry.address,
                         .target = path,
                         .headers = {{node_.wire.headers().target_upstream, it->entry.id}}};
    client_.call(request, node_.options.probe_timeout,
                 [this, it, now](const call_result& result) { on_probe_done(it, result, now); });
}

void prober::on_probe_done(const upstream_ptr& it, const call_result& result, instant sent) {
    auto& state = states_[it->number];
    state.running = false;
    next_check_ = std::min(next_check_, state.next);
    const auto now = node_.time.now();
    if (!result.has_response || result.head.status == 421) {
        node_.metrics.count_probe(result.has_response ? "other-upstream"
                                  : result.timed_out  ? "timed-out"
                                                      : "failed");
        node_.loads.unreachable(it->number, now);
        return;
    }
    node_.metrics.count_probe(result.head.status == 200 ? "healthy" : "unhealthy");
    node_.apply_response(*it, result.head, result.connected_at, now);
    if (result.head.status != 200) {
        node_.loads.outcome(it->number, {.bad = unhealthy_weight}, now, false);
        return;
    }
    node_.loads.reachable(it->number, result.connected_at, now);
    node_.apply_warm_up(*it, result.head.headers, sent, now);
}

} // namespace berylcrank
