#pragma once

#include "modules/berylcrank_rpc/peer/peer_service.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace berylcrank {

/** How a call to another node failed. @see peer_client */
enum class peer_failure : std::uint8_t {
    none,
    refused,     ///< The node's port refuses connections, so its process has ended.
    no_response, ///< The call timed out or the connection broke.
    invalid,     ///< The request was too large, or the response was malformed.
};

/** Calls other nodes with Cap'n Proto RPC. Thread-safe. Each callback runs exactly once, on the RPC thread,
    and must not block. A call without a response within `timeout` fails with `peer_failure::no_response`.

    @see peer_service, make_peer_endpoint
*/
class peer_client {
public:
    template <typename Response>
    using response_callback = std::function<void(peer_failure, Response)>;

    peer_client() = default;
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    virtual ~peer_client() = default;

    /** Sends a gossip message and receives one from the other node. */
    virtual void gossip(const std::string& address, gossip_message message, millis timeout,
                        response_callback<gossip_message> done) = 0;
    /** Requests the encoded configuration changes after `from_offset`. */
    virtual void pull_state(const std::string& address, std::uint64_t from_offset, millis timeout,
                            response_callback<std::string> done) = 0;
    /** Relays an order for execution by the other node. */
    virtual void relay_order(const std::string& address, order_request order, millis timeout,
                             response_callback<order_response> done) = 0;
    /** Requests a permit for the node `requester` to send a request of class `kind` to `upstream`. */
    virtual void acquire_permit(const std::string& address, incarnation requester, std::string upstream,
                                request_class kind, millis timeout,
                                response_callback<permit_response> done) = 0;
    /** Releases a permit and reports its outcome. */
    virtual void release_permit(const std::string& address, permit_release release, millis timeout,
                                response_callback<bool> done) = 0;
    /** Reports crashes of upstreams. */
    virtual void report_crash(const std::string& address, std::vector<crash_report> reports, millis timeout,
                              response_callback<bool> done) = 0;
};

/** The RPC server and client of a node, on one thread. @see make_peer_endpoint */
class peer_endpoint : public peer_client {
public:
    struct options {
        std::string address{"127.0.0.1:0"}; ///< Address and port to listen on; port 0 lets the kernel choose.
        std::size_t message_bytes{33554432}; ///< Maximum size of a message.
    };

    /** Returns the address with the actual port. */
    [[nodiscard]] virtual std::string address() const = 0;

    /** Returns the number of bytes sent and received so far, for the control traffic budget. */
    [[nodiscard]] virtual std::uint64_t traffic_bytes() const = 0;
};

/** Starts an endpoint. `service` must outlive it. Returns null and sets `error` if the address cannot be
    used. */
std::unique_ptr<peer_endpoint> make_peer_endpoint(const peer_endpoint::options& opts, peer_service& service,
                                                  std::string& error);

} // namespace berylcrank
