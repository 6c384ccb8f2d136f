#include "modules/berylcrank_balance/usage/usage_caps.h"

namespace berylcrank {

void usage_caps::set_nodes(std::span<const std::uint64_t> candidates, std::size_t known) {
    owner_.set_candidates(candidates);
    holder_.raise_node_count(static_cast<std::uint32_t>(known));
}

void usage_caps::tick(usage_transport& transport, instant now) {
    holder_.tick(now);
    owner_.tick(transport, now);
    client_.tick(transport, now);
}

void usage_caps::on_message(const usage_message& it, usage_transport& transport, instant now) {
    if (it.node == self_) {
        return;
    }
    usage_message response{.node = self_, .run = run_};
    if (it.pledge) {
        response.acknowledgement = holder_.on_pledge(it.node, it.run, *it.pledge, now);
        response.acknowledgement->stopping = stopping_;
        transport.send(it.node, response);
    } else if (it.request) {
        response.response = holder_.on_request(*it.request, now);
        transport.send(it.node, response);
    } else if (it.acknowledgement) {
        owner_.on_acknowledgement(it.node, it.run, *it.acknowledgement, now);
    } else if (it.response) {
        client_.on_response(*it.response, transport, now);
    }
}

} // namespace berylcrank
