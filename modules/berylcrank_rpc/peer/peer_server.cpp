#include "modules/berylcrank_rpc/peer/peer_server.h"

#include "modules/berylcrank_rpc/peer/counting_stream.h"
#include "modules/berylcrank_rpc/peer/peer_codec.h"

#include <algorithm>
#include <capnp/rpc-twoparty.h>

namespace berylcrank {

/** A connection accepted from another node. */
struct accepted_connection {
    accepted_connection(kj::Own<kj::AsyncIoStream> inner, std::atomic<std::uint64_t>& traffic,
                        const message_limits& limits, capnp::Capability::Client service)
        : stream(kj::mv(inner), traffic),
          network(stream, capnp::rpc::twoparty::Side::SERVER, limits.reader_options()),
          rpc(capnp::makeRpcServer(network, kj::mv(service))) {
        rpc.setFlowLimit(limits.flow_limit_words());
    }

    counting_stream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

namespace {

/** Delay before accepting again after a failure. Accepting fails when file descriptors run out, and retrying
    at once would only use CPU time. */
constexpr auto accept_retry_delay = 100 * kj::MILLISECONDS;

request_class decode_class(std::uint16_t value) {
    return value < request_class_count ? static_cast<request_class>(value) : request_class::lookup;
}

} // namespace

kj::Promise<void> peer_server::gossip(GossipContext context) {
    const auto response = service_.on_gossip(decode(context.getParams().getMessage()));
    encode(response, context.getResults().initReply());
    limits_.check(context.getResults().totalSize());
    return kj::READY_NOW;
}

kj::Promise<void> peer_server::pullState(PullStateContext context) {
    const auto delta = service_.on_pull_state(context.getParams().getFromOffset());
    context.getResults().setDelta(as_data(delta));
    limits_.check(context.getResults().totalSize());
    return kj::READY_NOW;
}

kj::Promise<void> peer_server::relayOrder(RelayOrderContext context) {
    auto order = decode(context.getParams().getRequest());
    context.releaseParams();
    const auto relay_id = next_relay_id_++;
    auto paf = kj::newPromiseAndFulfiller<order_response>();
    relays_.emplace(relay_id, kj::mv(paf.fulfiller));
    service_.on_relay_order(std::move(order),
                            [queue = queue_, relays = &relays_, relay_id](const order_response& response) {
                                // Only the task accesses the map. It runs on the RPC thread or not at all.
                                queue->post([relays, relay_id, response] {
                                    if (const auto it = relays->find(relay_id); it != relays->end()) {
                                        it->second->fulfill(order_response{response});
                                        relays->erase(it);
                                    }
                                });
                            });
    return paf.promise.then([context, limits = limits_](const order_response& response) mutable {
        encode(response, context.getResults().initAnswer());
        limits.check(context.getResults().totalSize());
    });
}

kj::Promise<void> peer_server::acquirePermit(AcquirePermitContext context) {
    const auto params = context.getParams();
    const auto upstream = params.getUpstream();
    const auto response =
        service_.on_acquire_permit({params.getIncarnation()}, {upstream.begin(), upstream.size()},
                                   decode_class(params.getRequestClass()));
    encode(response, context.getResults().initAnswer());
    return kj::READY_NOW;
}

kj::Promise<void> peer_server::releasePermit(ReleasePermitContext context) {
    service_.on_release_permit(decode(context.getParams()));
    return kj::READY_NOW;
}

kj::Promise<void> peer_server::reportCrash(ReportCrashContext context) {
    service_.on_report_crash(decode(context.getParams().getCrashes()));
    return kj::READY_NOW;
}

peer_acceptor::peer_acceptor(const options& opts, kj::Own<kj::ConnectionReceiver> receiver,
                             capnp::Capability::Client service, kj::Timer& timer,
                             std::atomic<std::uint64_t>& traffic, kj::TaskSet& tasks)
    : options_(opts), receiver_(kj::mv(receiver)), service_(kj::mv(service)), timer_(timer),
      traffic_(traffic), tasks_(tasks) {
    tasks_.add(accept_next());
}

kj::Promise<void> peer_acceptor::accept_next() {
    return receiver_->accept()
        .then([this](kj::Own<kj::AsyncIoStream>&& stream) { serve(kj::mv(stream)); })
        .catch_([this](kj::Exception&&) { return timer_.afterDelay(accept_retry_delay); })
        .then([this] { return accept_next(); });
}

void peer_acceptor::serve(kj::Own<kj::AsyncIoStream> stream) {
    if (connections_.size() >= options_.max_connections) {
        return;
    }
    auto accepted = kj::heap<accepted_connection>(kj::mv(stream), traffic_, options_.limits, service_);
    const auto key = accepted.get();
    connections_.insert(key);
    auto ended = accepted->network.onDisconnect();
    tasks_.add(ended
                   .then([this, key] { connections_.erase(key); },
                         [this, key](kj::Exception&&) { connections_.erase(key); })
                   .attach(kj::mv(accepted)));
}

bool peer_acceptor::has_unsent_messages() const {
    return std::ranges::any_of(
        connections_, [](auto* connection) { return connection->network.getCurrentQueueCount() > 0; });
}

} // namespace berylcrank
