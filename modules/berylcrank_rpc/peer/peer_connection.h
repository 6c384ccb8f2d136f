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

/** What a connection needs of its loop; outlives it. @see peer_connection */
struct connection_context {
    kj::AsyncIoContext& io;
    std::atomic<std::uint64_t>& traffic;
    message_limits limits;
};

/** A connection to another node, used on the RPC thread. Kept by the map of connections and by each call.

    @see peer_connections
*/
class peer_connection final : public kj::Refcounted {
public:
    /** Starts connecting. `on_broken` is called, in the loop, when the established connection ends. */
    peer_connection(const connection_context& context, const std::string& address,
                    std::function<void()> on_broken);

    /** Resolves once `peer` may be used; fails if no connection can be made. */
    kj::Promise<void> ready() { return ready_.addBranch(); }

    /** The other node. Only after `ready`. */
    schema::Peer::Client peer();

    /** True if the other side refused the connection. */
    [[nodiscard]] bool is_refused() const { return refused_; }

    /** Bytes received so far; a call during which this does not grow may have met a dead connection. */
    [[nodiscard]] std::uint64_t received() const { return stream_ ? stream_->received() : 0; }

private:
    kj::Promise<void> connect(const std::string& address);
    void open(int fd);

    connection_context context_;
    std::function<void()> on_broken_;
    bool refused_{false};
    std::unique_ptr<counting_stream> stream_;
    kj::Maybe<capnp::TwoPartyVatNetwork> network_;
    kj::Maybe<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> rpc_;
    kj::Maybe<schema::Peer::Client> peer_;
    kj::Promise<void> watch_{nullptr};
    kj::ForkedPromise<void> ready_;
};

} // namespace berylcrank
