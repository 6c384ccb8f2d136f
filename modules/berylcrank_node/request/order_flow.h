#pragma once

#include "modules/berylcrank_node/request/home_resolver.h"
#include "modules/berylcrank_node/request/order_execution.h"
#include "modules/berylcrank_rpc/peer/peer_client.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace berylcrank {

/** Properties of an order that are parsed from its HTTP request. @see order_flow */
struct order_context {
    std::string service;
    std::string path; ///< Path and query for the upstream.
    millis timeout;   ///< Time left until the caller's deadline.
};

/** Processes non-idempotent requests. Validates the id, then runs the order if this incarnation is the id's
    home node, or relays it to the home node. Every response carries a verdict and a fresh id prefix. Only
    the home node responds "not run" to a valid id.
    Thread-safe; does not block.
    @see order_table, peer_client
*/
class order_flow {
public:
    struct options {
        order_limits limits;
        /** Subtracted from the timeout of a relayed order, so that the home node's response arrives in
            time. */
        millis relay_margin{10};
    };

    /** Totals since the start. */
    struct counters {
        std::atomic<std::uint64_t> received{0};     ///< Copies received from callers.
        std::atomic<std::uint64_t> relayed_out{0};  ///< Copies relayed to their home node.
        std::atomic<std::uint64_t> relayed_in{0};   ///< Copies received from other nodes.
        std::atomic<std::uint64_t> invalid{0};      ///< Copies without a valid id.
        std::atomic<std::uint64_t> run_here{0};     ///< Orders admitted here.
        std::atomic<std::uint64_t> home_unknown{0}; ///< Copies whose home node is not known here.
        std::atomic<std::uint64_t> home_refused{0}; ///< Relays to a home node whose port refuses connections.
        std::atomic<std::uint64_t> home_silent{0};  ///< Relays without a readable response in time.
    };

    /** All references must outlive the flow and every order. */
    order_flow(const options& it, const order_dependencies& deps, peer_client& peers,
               const home_resolver& resolver)
        : options_(it), deps_(deps), peers_(peers), home_resolver_(resolver),
          shared_(std::make_shared<order_shared_state>(it.limits)) {}

    /** Processes a caller's request. */
    void handle(const std::shared_ptr<http_exchange>& it, const order_context& call);

    /** Processes an order that another node relayed; `respond` is called once, on any thread. */
    void handle_relayed(order_request it, std::function<void(order_response)> respond);

    /** Responds to copies whose deadline has passed and removes expired ids. Call every few milliseconds. */
    void tick() { deps_.table.tick(deps_.time.now()); }

    /** Verdict for a request that is refused before it is passed to `handle`, e.g. for a malformed header.
        It is "not run" only if no other copy with one of its ids may have been dispatched. */
    [[nodiscard]] run_verdict refusal_verdict(const http_request& it) const;

    /** Number of orders that run here, including relayed ones and those whose caller has disconnected. A
        planned stop waits until there are none. */
    [[nodiscard]] std::size_t running() const { return shared_->running; }

    [[nodiscard]] const counters& count() const { return counters_; }

private:
    void refuse_invalid(const http_request& it, order_responder& responder);
    void run_here(order_request it, const request_id& id, std::shared_ptr<order_responder> responder);
    void relay(order_request it, const request_id& id, std::shared_ptr<order_responder> responder);
    void on_relayed(peer_failure failure, const order_response& response, order_responder& responder);

    options options_;
    order_dependencies deps_;
    peer_client& peers_;
    const home_resolver& home_resolver_;
    std::shared_ptr<order_shared_state> shared_;
    counters counters_;
};

} // namespace berylcrank
