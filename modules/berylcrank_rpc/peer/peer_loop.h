#pragma once

#include "modules/berylcrank_rpc/peer/peer_connections.h"
#include "modules/berylcrank_rpc/peer/peer_server.h"

#include <array>
#include <memory>
#include <string>

// KJ's classes have no virtual destructor by design: `kj::Own` stores how to destroy them.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

namespace berylcrank {

/** The KJ event loop of an endpoint, with its connections. Created, used and destroyed on the RPC thread.

    @see rpc_endpoint
*/
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class peer_loop final : private kj::TaskSet::ErrorHandler {
public:
    /** Throws `kj::Exception` if the address cannot be used. */
    peer_loop(const peer_endpoint::options& opts, peer_service& service, std::shared_ptr<task_queue> queue,
              std::atomic<std::uint64_t>& traffic);
    ~peer_loop();
    peer_loop(const peer_loop&) = delete;
    peer_loop& operator=(const peer_loop&) = delete;

    /** Runs tasks and serves calls until the queue is closed. Then sends the pending responses, for at most
        1 s. */
    void run();

    [[nodiscard]] unsigned port() { return acceptor_.port(); }
    [[nodiscard]] peer_connections& connections() { return connections_; }
    [[nodiscard]] const message_limits& limits() const { return limits_; }

private:
    kj::Promise<void> run_tasks();
    void flush_responses();
    void taskFailed(kj::Exception&& exception) override;

    message_limits limits_;
    std::shared_ptr<task_queue> queue_;
    kj::AsyncIoContext io_;
    kj::Own<kj::AsyncInputStream> wakeups_;
    std::array<char, 64> wakeup_bytes_{};
    pending_relays relays_;
    std::unique_ptr<kj::TaskSet> tasks_; ///< Reset first, because calls in progress use the other members.
    peer_connections connections_;
    peer_acceptor acceptor_;
};

} // namespace berylcrank

#pragma GCC diagnostic pop
