#pragma once

#include "modules/berylcrank_rpc/peer/counting_stream.h"
#include "modules/berylcrank_rpc/peer/message_limits.h"
#include "modules/berylcrank_rpc/peer/peer_client.h"
#include "modules/berylcrank_rpc/peer/socket_address.h"
#include "peer.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <atomic>
#include <functional>

namespace berylcrank {

/** Dependencies of a connection, which must outlive it. @see peer_connection */
struct connection_context {
    kj::AsyncIoContext& io;
    std::atomic<std::uint64_t>& traffic;
    message_limits limits;
};

/** A connection to another node, used only on the RPC thread. Owned jointly by peer_connections and by each
    call.

    @see peer_connections
*/
class peer_connection final : public kj::Refcounted {
public:
    /** Starts to connect. `on_disconnect` is called on the RPC thread when the established connection
        ends. */
    peer_connection(const connection_context& context, const std::string& address,
                    std::function<void()> on_disconnect);

    /** Resolves when `peer` may be used. Rejects if the connection fails. */
    kj::Promise<void> ready() { return ready_.addBranch(); }

    /** Returns the other node's RPC interface. Call only after `ready` has resolved. */
    schema::Peer::Client peer();

    /** Returns true if the other node refused the connection. */
    [[nodiscard]] bool is_refused() const { return is_refused_; }

    /** Returns the number of bytes received so far. If it does not grow during a call, the connection may be
        dead. */
    [[nodiscard]] std::uint64_t received() const { return stream_ ? stream_->received() : 0; }

private:
    kj::Promise<void> connect(const std::string& address);
    void start_rpc(int fd);

    connection_context context_;
    std::function<void()> on_disconnect_;
    bool is_refused_{false};
    std::unique_ptr<counting_stream> stream_;
    kj::Maybe<capnp::TwoPartyVatNetwork> network_;
    kj::Maybe<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpc_;
    kj::Maybe<schema::Peer::Client> peer_;
    kj::Promise<void> disconnect_watch_{nullptr};
    kj::ForkedPromise<void> ready_;
};

} // namespace berylcrank
