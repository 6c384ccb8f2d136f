#pragma once

#include "modules/berylcrank_balance/berylcrank_balance.h"
#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_gateway/client/connection_pool.h"
#include "modules/berylcrank_gateway/flow/gateway_metrics.h"
#include "modules/berylcrank_gateway/flow/gateway_options.h"
#include "modules/berylcrank_gateway/flow/wire_format.h"
#include "modules/berylcrank_gateway/log/event_log.h"

#include <functional>

namespace berylcrank {

/** What one node believes and what its parts share. Used by one thread.

    @see gateway, prober, gateway_node
*/
struct node_state {
    /** Time after the last refusal from which callers count as calm; they come back within a second or two.
     */
    static constexpr millis calm_after{3000};

    node_state(boost::asio::io_context& io, const clock& time_source, const wire_format& format,
               event_log& events, gateway_options node_options, std::uint64_t seed)
        : time(time_source), wire(format), log(events), options(std::move(node_options)), random(seed),
          split(random.unit()), peers(options.self), shares(peers.self_number(), options.self.failure_domain),
          subset(upstreams, peers), connections(io, time) {}

    const clock& time;
    const wire_format& wire;
    event_log& log;
    gateway_options options;
    gateway_metrics metrics;
    seeded_random random;

    route_table routes;
    weighted_split split;
    upstream_directory upstreams;
    load_tracker loads;
    wait_queue waiting;
    prior_wait_estimator ages;
    transfer_sizes sizes;
    median_durations durations;
    startup_limiter start;
    warmup_limiter warmups;
    peer_table peers;
    slot_shares shares;
    upstream_subset subset;
    connection_pool connections;      // to upstreams
    instant refused_at;               // when this node last refused a caller
    std::function<void()> hear_peers; // takes the messages that have arrived, so that a choice knows them
    absl::flat_hash_map<std::string, windowed_retry_budget> budgets;
    absl::flat_hash_map<std::string, instant> spilled; // when a service last used upstreams of other cells

    /** The resend budget of a service. */
    windowed_retry_budget& budget(const std::string& service) {
        return budgets.try_emplace(service, windowed_retry_budget(options.resends)).first->second;
    }

    /** Whether neither this node nor, as far as it knows, another has refused callers lately. */
    [[nodiscard]] bool calm(instant now) const {
        return (refused_at == instant{} || now - refused_at > calm_after) &&
               !shares.has_any_remote_demand(now);
    }

    /** Requests a second that a cold upstream of the service may get from all nodes; 0 for no limit. */
    [[nodiscard]] double cold_rate(const std::string& service) const {
        const auto* it = routes.service(service);
        return it == nullptr || it->warm_up_per_second <= 0
                   ? 0
                   : it->warm_up_per_second * options.warmup_factor + options.warmup_slack;
    }

    /** Whether this node is the one that probes an upstream and admits requests to it while it is cold. */
    [[nodiscard]] bool answers_for(const upstream& it, instant now) const {
        return subset.is_home(it) && peers.owns(it.number, now);
    }

    /** Whether a cold upstream may get a request from this node now. */
    [[nodiscard]] bool cold_allowed(const upstream& it, instant now) {
        const double rate = cold_rate(it.entry.service);
        return rate <= 0 || (answers_for(it, now) && warmups.allows(it.number, rate, now));
    }
};

/** Key of an upstream's idle connections: address and id, since addresses are used again. */
inline std::string connection_key(const upstream& it) {
    return it.entry.address + '/' + it.entry.id;
}

} // namespace berylcrank
