#pragma once

#include "modules/berylcrank_rpc/peer/peer_client.h"
#include "modules/berylcrank_rpc/peer/task_queue.h"

#include <atomic>
#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>

namespace berylcrank {

class peer_loop; // NOLINT(cppcoreguidelines-virtual-class-destructor)

/** Implements peer_endpoint with one KJ event loop on one thread. Other threads only post tasks to its queue.

    @see peer_loop
*/
class rpc_endpoint final : public peer_endpoint {
public:
    rpc_endpoint() = default;
    ~rpc_endpoint() override;
    rpc_endpoint(const rpc_endpoint&) = delete;
    rpc_endpoint& operator=(const rpc_endpoint&) = delete;

    /** Starts the thread. Returns false and sets `error` if the address cannot be used. */
    bool start(const options& opts, peer_service& service, std::string& error);

    [[nodiscard]] std::string address() const override { return address_; }
    [[nodiscard]] std::uint64_t traffic_bytes() const override { return traffic_; }

    void gossip(const std::string& address, gossip_message message, millis timeout,
                response_callback<gossip_message> done) override;
    void pull_state(const std::string& address, std::uint64_t from_offset, millis timeout,
                    response_callback<std::string> done) override;
    void relay_order(const std::string& address, order_request order, millis timeout,
                     response_callback<order_response> done) override;
    void acquire_permit(const std::string& address, incarnation requester, std::string upstream,
                        request_class kind, millis timeout, response_callback<permit_response> done) override;
    void release_permit(const std::string& address, permit_release release, millis timeout,
                        response_callback<bool> done) override;
    void report_crash(const std::string& address, std::vector<crash_report> reports, millis timeout,
                      response_callback<bool> done) override;

private:
    /** Posts a call. `send(client, limits)` runs on the RPC thread. */
    template <typename Response, typename Send>
    void post_call(const std::string& address, millis timeout, response_callback<Response> done, Send send);
    void run(const options& opts, peer_service& service, std::promise<std::string> started);

    std::shared_ptr<task_queue> queue_{std::make_shared<task_queue>()};
    std::atomic<std::uint64_t> traffic_{0};
    std::string address_;
    peer_loop* loop_{nullptr}; ///< Owned by the thread and used only by its tasks.
    std::thread thread_;
};

} // namespace berylcrank
