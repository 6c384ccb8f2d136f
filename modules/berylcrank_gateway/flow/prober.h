#pragma once

#include "modules/berylcrank_gateway/client/simple_call.h"
#include "modules/berylcrank_gateway/flow/node_state.h"

namespace berylcrank {

/** Asks the upstreams that this node answers for how loaded, healthy and warm they are. The other nodes learn
   it from this node's messages, so that all nodes together stay within the probing budget.

    @see peer_table, load_tracker
*/
class prober {
public:
    prober(boost::asio::io_context& io, node_state& node);

    /** Starts probes that are due. */
    void tick(instant now);

private:
    struct state {
        instant next;
        bool running{false};
    };

    /** Whether it is time to probe an upstream and this node is the one that does it. */
    bool is_due(const upstream& it, instant now);
    void look(instant now);
    void probe_if_due(const upstream_ptr& it, const std::string& path, instant now);
    void probe(const upstream_ptr& it, const std::string& path, instant now);
    void took(const upstream_ptr& it, const call_result& result, instant sent);

    node_state& node_;
    simple_caller caller_;
    absl::flat_hash_map<std::uint32_t, state> states_;
    instant next_look_; // no probe of this node is due before
};

} // namespace berylcrank
