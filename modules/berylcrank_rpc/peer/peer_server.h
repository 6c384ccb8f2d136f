#pragma once

#include "modules/berylcrank_rpc/peer/message_limits.h"
#include "modules/berylcrank_rpc/peer/peer_service.h"
#include "modules/berylcrank_rpc/peer/task_queue.h"
#include "peer.capnp.h"

#include <kj/async-io.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <set>

// KJ's classes have no virtual destructor by design: `kj::Own` stores how to destroy them.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

namespace berylcrank {

/** Relayed orders whose response is pending, by id. Used only on the RPC thread. @see peer_server */
using pending_relays = std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<order_response>>>;

/** Handles the calls of other nodes on the RPC thread.

    @see peer_service
*/
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class peer_server final : public schema::Peer::Server {
public:
    /** `service` and `relays` must outlive the tasks in `queue`. */
    peer_server(peer_service& service, std::shared_ptr<task_queue> queue, pending_relays& relays,
                const message_limits& limits)
        : service_(service), queue_(std::move(queue)), relays_(relays), limits_(limits) {}

    kj::Promise<void> gossip(GossipContext context) override;
    kj::Promise<void> pullState(PullStateContext context) override;
    kj::Promise<void> relayOrder(RelayOrderContext context) override;
    kj::Promise<void> acquirePermit(AcquirePermitContext context) override;
    kj::Promise<void> releasePermit(ReleasePermitContext context) override;
    kj::Promise<void> reportCrash(ReportCrashContext context) override;

private:
    peer_service& service_;
    std::shared_ptr<task_queue> queue_;
    pending_relays& relays_;
    std::uint64_t next_relay_id_{1};
    message_limits limits_;
};

struct accepted_connection;

/** Accepts connections and serves each one until it disconnects.

    @see peer_server
*/
class peer_acceptor {
public:
    struct options {
        unsigned max_connections{1024};
        message_limits limits;
    };

    /** Use only on the RPC thread. The references must outlive the acceptor. */
    peer_acceptor(const options& opts, kj::Own<kj::ConnectionReceiver> receiver,
                  capnp::Capability::Client service, kj::Timer& timer, std::atomic<std::uint64_t>& traffic,
                  kj::TaskSet& tasks);

    [[nodiscard]] unsigned port() { return receiver_->getPort(); }

    [[nodiscard]] bool has_connections() const { return !connections_.empty(); }

    /** Returns true if a connection has messages that are not sent yet. */
    [[nodiscard]] bool has_unsent_messages() const;

private:
    kj::Promise<void> accept_next();
    void serve(kj::Own<kj::AsyncIoStream> stream);

    options options_;
    kj::Own<kj::ConnectionReceiver> receiver_;
    capnp::Capability::Client service_;
    kj::Timer& timer_;
    std::atomic<std::uint64_t>& traffic_;
    kj::TaskSet& tasks_;
    std::set<accepted_connection*> connections_;
};

} // namespace berylcrank

#pragma GCC diagnostic pop
