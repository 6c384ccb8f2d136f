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
    refused,     ///< The node's port refuses connections: that run has ended.
    no_response, ///< No answer in time, or the connection broke.
    invalid,     ///< The answer could not be read.
};

/** Calls other nodes by Cap'n Proto RPC. Safe from any thread; callbacks come once, on the RPC thread, and
   must not block. A call that gets no answer within `timeout` ends as `silent`.

    @see peer_service, make_peer_endpoint
*/
class peer_client {
public:
    template <typename Answer>
    using response_callback = std::function<void(peer_failure, Answer)>;

    peer_client() = default;
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    virtual ~peer_client() = default;

    virtual void gossip(const std::string& address, gossip_message it, millis timeout,
                        response_callback<gossip_message> done) = 0;
    virtual void pull_state(const std::string& address, std::uint64_t from_offset, millis timeout,
                            response_callback<std::string> done) = 0;
    virtual void relay_order(const std::string& address, order_request it, millis timeout,
                             response_callback<order_response> done) = 0;
    virtual void acquire_permit(const std::string& address, incarnation who, std::string upstream,
                                request_class it, millis timeout, response_callback<permit_answer> done) = 0;
    virtual void release_permit(const std::string& address, permit_release it, millis timeout,
                                response_callback<bool> done) = 0;
    virtual void report_crash(const std::string& address, std::vector<crash_report> it, millis timeout,
                              response_callback<bool> done) = 0;
};

/** A node's RPC server and client on one thread. @see make_peer_endpoint */
class peer_endpoint : public peer_client {
public:
    struct options {
        std::string address{"127.0.0.1:0"};  ///< Where to listen; port 0 lets the kernel choose.
        std::size_t message_bytes{33554432}; ///< Largest message accepted.
    };

    /** The address with the port that is in use. */
    [[nodiscard]] virtual std::string address() const = 0;

    /** Bytes sent and received so far, for the control budget. */
    [[nodiscard]] virtual std::uint64_t traffic_bytes() const = 0;
};

/** Starts the endpoint; `service` must outlive it. Throws nothing; returns null and sets `error` if the
   address cannot be used. */
std::unique_ptr<peer_endpoint> make_peer_endpoint(const peer_endpoint::options& it, peer_service& service,
                                                  std::string& error);

} // namespace berylcrank
