#pragma once

#include "modules/berylcrank_balance/berylcrank_balance.h"
#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_gateway/client/connection_pool.h"
#include "modules/berylcrank_gateway/flow/gateway_metrics.h"
#include "modules/berylcrank_gateway/flow/gateway_options.h"
#include "modules/berylcrank_gateway/flow/wire_format.h"
#include "modules/berylcrank_gateway/log/event_log.h"
#include "modules/berylcrank_suspect/berylcrank_suspect.h"

#include <functional>

namespace berylcrank {

/** Result of the access check of a request. */
struct access_result {
    bool allowed{false};
    const client_account* account{
        nullptr}; ///< Of the caller; null if it has none. Valid until a new configuration.
};

/** State of a node that its components share. Not thread-safe.

    @see gateway, prober, gateway_node
*/
struct node_state {
    /** Time after which a refusal no longer counts as recent. Refused callers come back within a second or
        two. */
    static constexpr millis refusal_memory{3000};

    /** Time after a pause in which the messages that arrived during the pause are read. */
    static constexpr millis resume_read_time{100};

    /** Time for which messages to other nodes repeat an announced stop, since datagrams can be lost. */
    static constexpr millis leave_repeat_time{250};

    node_state(boost::asio::io_context& io, const clock& time_source, const wire_format& format,
               event_log& events, gateway_options node_options, std::uint64_t seed)
        : time(time_source), wire(format), log(events), options(std::move(node_options)), random(seed),
          split(random.unit()), peers(options.self), shares(peers.self_number(), options.self.failure_domain),
          subset(upstreams, peers), connections(io, time),
          suspects(suspect_options(), [this](const upstream_loss& it) { return has_survived(it); }),
          usage({.self = peers.self_number(),
                 .run = options.self.incarnation,
                 .tolerance = options.usage,
                 .first_request_id = random.next(),
                 .start = time.now()}) {}

    /** Returns the options of the suspects with this node's delay of trials. */
    [[nodiscard]] suspect_table::options suspect_options() const;

    const clock& time;
    const wire_format& wire;
    event_log& log;
    gateway_options options;
    gateway_metrics metrics;
    seeded_random random;

    route_table routes;
    account_table accounts{entropy()};
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
    connection_pool connections;                 // to upstreams
    suspect_table suspects;                      // requests that may crash upstreams
    usage_caps usage;                            // of accounts
    usage_transport* usage_messages{nullptr};    // to other nodes; set before the first request
    instant last_refusal;                        // when this node last refused a request
    instant membership_valid_from;               // until then, the view of the other nodes may be out of date
    instant peer_warm_ups_valid_from;            // until then, messages may be from before a pause
    std::vector<std::uint32_t> announced_leaves; // upstreams that announced their stop to this node
    instant announced_leaves_until;              // until then, messages to other nodes contain them
    std::function<void()> receive_messages;      // updates the loads before an upstream is chosen
    absl::flat_hash_map<std::string, windowed_retry_budget> budgets;
    absl::flat_hash_map<std::string, instant> last_spill; // when a service last used upstreams of other cells

    /** Returns the retry budget of a service. */
    windowed_retry_budget& budget(const std::string& service) {
        return budgets.try_emplace(service, windowed_retry_budget(options.retries)).first->second;
    }

    /** Activates `config` if its version is higher than the active one; returns whether it did. */
    bool apply_config(deployment_config config);

    /** Checks whether a request with these headers may run: its key belongs to an account, or it needs none.
        `route` is null if the request has no route. */
    [[nodiscard]] access_result check_access(const header_list& headers, const route_entry* route) const;

    /** Returns true if this node has not refused a request recently and no other node reports waiting
        requests. */
    [[nodiscard]] bool no_recent_refusals(instant now) const {
        return (last_refusal == instant{} || now - last_refusal > refusal_memory) &&
               !shares.has_any_remote_demand(now);
    }

    /** Requests per second that a cold upstream of the service may receive from all nodes; 0 for no limit. */
    [[nodiscard]] double cold_request_rate(const std::string& service) const {
        const auto* it = routes.service(service);
        return it == nullptr || it->warm_up_per_second <= 0
                   ? 0
                   : it->warm_up_per_second * options.warmup_factor + options.warmup_slack;
    }

    /** Returns true if this node is the one that probes an upstream and reports its warm-up time. */
    [[nodiscard]] bool is_responsible_for(const upstream& it, instant now) const {
        return subset.is_home(it) && peers.owns(it.number, now);
    }

    static_assert(peer_table::handover_time >= warmup_limiter::window);

    /** Returns true if this node may send a request to a cold upstream now. */
    [[nodiscard]] bool may_send_to_cold(const upstream& it, instant now) {
        const double rate = cold_request_rate(it.entry.service);
        return rate <= 0 || (now >= membership_valid_from && subset.is_home(it) &&
                             peers.admits(it.number, now) && warmups.allows(it.number, rate, now));
    }

    /** Returns true if an upstream has responded after the loss of a connection, without a start since. Its
        registration does not tell: an upstream that starts again under its id may respond before the
        registration of that start arrives. */
    [[nodiscard]] bool has_survived(const upstream_loss& it) const;

    /** Call this when the process continues after a pause, in which it received no messages. Until the other
        nodes have been heard again, they seem to be gone and this node would take over their duties.
        Upstreams with a limit while they are cold may have become cold: they are unverified until a probe or
        another node states their warm-up time, at most for the service's warm-up time. */
    void on_resumed(instant now);

    /** Applies the remaining warm-up time that another node reports. Shortly after a pause, a shorter time
       may be from before the pause and changes nothing. */
    void apply_peer_warm_up(upstream& it, millis remaining, instant now) const;

    /** Applies what the headers of an upstream's response say about the upstream: its load, its stop, and the
        time for which a 503 response asks for no requests. `connected_at` is the start of the connection that
        carried the response. Returns the load, if any. */
    std::optional<load_snapshot> apply_response(upstream& it, const response_head& head, instant connected_at,
                                                instant now);

    /** Stops sending to an upstream that announces its stop in the headers of a response. */
    void apply_leaving(upstream& it, const header_list& headers, instant now);

    /** Applies the remaining warm-up time in the headers of a health check that was sent at `sent`; an
       upstream that states none is warm. A malformed time changes nothing. */
    void apply_warm_up(upstream& it, const header_list& headers, instant sent, instant now);

    /** Stops sending to an upstream that announced its stop. Returns whether that is new. */
    bool mark_leaving(upstream& it);

    /** Stops sending to an upstream for the time that the headers of its response state, if any. */
    void apply_retry_after(upstream& it, const header_list& headers, instant now);
};

/** Returns the key of an upstream's idle connections: address and id, because addresses are reused. */
inline std::string connection_key(const upstream& it) {
    return it.entry.address + '/' + it.entry.id;
}

} // namespace berylcrank
