#pragma once

#include "modules/berylcrank_node/request/home_directory.h"
#include "modules/berylcrank_node/request/order_run.h"
#include "modules/berylcrank_rpc/peer/peer_client.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace berylcrank {

/** What the caller of `order_flow::handle` knows of a request beyond its HTTP form. */
struct order_call {
    std::string service;
    std::string path; ///< Path and query for the upstream.
    millis timeout;   ///< What is left of the caller's deadline.
};

/** Serves non-idempotent requests: validates the id, runs the order if this run is the id's home, relays it
    to the home otherwise. Every answer carries a verdict and a fresh id prefix. Only the home says "not run".

    Safe from any thread; does not block.
    @see order_table, peer_client
*/
class order_flow {
public:
    struct options {
        order_limits limits;
        /** Subtracted from the timeout of a relayed order, so that the home's answer arrives in time. */
        millis relay_margin{10};
    };

    /** Totals since the start. */
    struct counters {
        std::atomic<std::uint64_t> received{0};     ///< Copies from callers.
        std::atomic<std::uint64_t> relayed_out{0};  ///< Copies sent on to their home.
        std::atomic<std::uint64_t> relayed_in{0};   ///< Copies received from other nodes.
        std::atomic<std::uint64_t> invalid{0};      ///< Copies without a valid id.
        std::atomic<std::uint64_t> run_here{0};     ///< Orders admitted here.
        std::atomic<std::uint64_t> home_unknown{0}; ///< Copies whose home is not known here.
        std::atomic<std::uint64_t> home_refused{0}; ///< Relays to a home whose port refuses connections.
        std::atomic<std::uint64_t> home_silent{0};  ///< Relays without a readable answer in time.
    };

    /** All references must outlive the flow and every order. */
    order_flow(const options& it, const order_parts& parts, peer_client& peers, const home_directory& homes)
        : options_(it), parts_(parts), peers_(peers), homes_(homes),
          shared_(std::make_shared<order_shared>(it.limits)) {}

    /** Serves a caller's request. */
    void handle(const std::shared_ptr<http_exchange>& it, const order_call& call);

    /** Serves an order that another node relayed; `reply` is called once, from any thread. */
    void handle_relayed(order_request it, std::function<void(order_response)> reply);

    /** Answers who waits beyond a deadline, and forgets expired ids. To be called every few milliseconds. */
    void tick() { parts_.table.tick(parts_.time.now()); }

    /** What may be said of a request that is refused before it is given to `handle`, e.g. for a malformed
        header: "not run" is true only if none of its ids may have been dispatched by another copy. */
    [[nodiscard]] run_verdict refusal_verdict(const http_request& it) const;

    /** Orders that run here, also those whose caller left or that another node relayed. A planned stop waits
        until there are none. */
    [[nodiscard]] std::size_t running() const { return shared_->running; }

    [[nodiscard]] const counters& count() const { return counters_; }

private:
    void refuse_invalid(const http_request& it, order_reply& reply);
    void run_here(order_request it, const request_id& id, std::shared_ptr<order_reply> reply);
    void relay(order_request it, const request_id& id, std::shared_ptr<order_reply> reply);
    void on_relayed(peer_failure failure, const order_response& answer, order_reply& reply);

    options options_;
    order_parts parts_;
    peer_client& peers_;
    const home_directory& homes_;
    std::shared_ptr<order_shared> shared_;
    counters counters_;
};

} // namespace berylcrank
