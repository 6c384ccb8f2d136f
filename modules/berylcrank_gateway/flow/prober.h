#pragma once

#include "modules/berylcrank_gateway/client/http_client.h"
#include "modules/berylcrank_gateway/flow/node_state.h"

namespace berylcrank {

/** Probes the load, health and warm-up state of the upstreams for which this node is responsible. The other
    nodes receive the results in this node's messages, so that all nodes together stay within the probing
    budget.

    @see peer_table, load_tracker
*/
class prober {
public:
    prober(boost::asio::io_context& io, node_state& node);

    /** Starts the probes that are due. Call this periodically. */
    void tick(instant now);

private:
    struct probe_state {
        instant next;
        bool running{false};
    };

    /** Returns true if a probe of an upstream is due and this node is responsible for it, or its warm-up is
        unverified. */
    bool is_due(const upstream& it, instant now);
    void check_upstreams(instant now);
    void probe_if_due(const upstream_ptr& it, const std::string& path, instant now);
    void probe(const upstream_ptr& it, const std::string& path, instant now);
    void on_probe_done(const upstream_ptr& it, const call_result& result, instant sent);

    node_state& node_;
    http_client client_;
    absl::flat_hash_map<std::uint32_t, probe_state> states_;
    instant next_check_; // no probe of this node is due earlier
};

} // namespace berylcrank
