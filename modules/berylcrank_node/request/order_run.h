#pragma once

#include "modules/berylcrank_core/identity/request_id.h"
#include "modules/berylcrank_http/client/upstream_client.h"
#include "modules/berylcrank_node/request/attempt_router.h"
#include "modules/berylcrank_node/request/byte_budget.h"
#include "modules/berylcrank_node/request/order_reply.h"
#include "modules/berylcrank_once/berylcrank_once.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace berylcrank {

/** What an order needs at its home. All must outlive every order. @see order_flow */
struct order_parts {
    const clock& time;
    id_minter& minter;
    order_table& table;
    attempt_router& router;
    upstream_client& client;
};

/** Limits of an order at its home. @see order_flow */
struct order_limits {
    unsigned attempts{2};                ///< Upstreams tried while each is proven not to have run the order.
    std::size_t recordable_bytes{65536}; ///< Larger answers are streamed to the first caller.
    std::size_t held_bytes{8388608};     ///< Largest answer held for a first copy that cannot be streamed to.
    std::size_t total_held_bytes{67108864}; ///< Most bytes of answers held by all orders while they arrive.
};

/** What the orders of a flow share; kept by each of them. */
struct order_shared {
    explicit order_shared(const order_limits& it) : limits(it), held(it.total_held_bytes) {}

    order_limits limits;
    byte_budget held;
    std::atomic<std::size_t> running{0}; ///< Orders admitted and not ended.
};

/** One admitted order on its way through routing and attempts. Only one attempt is in progress at a time.

    @see order_flow, order_attempt
*/
class order_run : public std::enable_shared_from_this<order_run> {
public:
    order_run(const order_parts& parts, std::shared_ptr<order_shared> shared, order_request request,
              const request_id& id, instant deadline, std::shared_ptr<order_reply> reply);

    ~order_run() { --shared_->running; }
    order_run(const order_run&) = delete;
    order_run& operator=(const order_run&) = delete;

    /** Asks for an upstream; also after an attempt that did not run. */
    void route();

    /** The check immediately before the first byte. @see order_table::begin_dispatch */
    std::optional<std::uint32_t> begin_dispatch();

    /** An attempt ended before `begin_dispatch` allowed it. */
    void on_not_sent(const std::string& upstream, bool is_retry_useful);

    /** The check before the first byte abandoned an attempt, e.g. for want of a permit on a new connection.
       The order is routed again, which is no retry. */
    void on_denied(const std::string& upstream);

    /** A dispatched attempt is proven not to have run. `is_retry_useful` is false if the upstream's answer
       asks for no retry, because it is overloaded. */
    void on_not_run(std::uint32_t attempt, const std::string& upstream, bool is_retry_useful);

    /** A dispatched attempt ran or may have run. */
    void on_ended(std::uint32_t attempt, order_response answer);

    /** Where the first copy's answer goes. */
    [[nodiscard]] const std::shared_ptr<order_reply>& reply() const { return reply_; }

    [[nodiscard]] const order_limits& limits() const { return shared_->limits; }

    /** Bounds the answers that all orders hold. */
    [[nodiscard]] byte_budget& held() const { return shared_->held; }

private:
    void start(std::unique_ptr<attempt_target> target);
    void refuse(int status, std::string reason, bool is_retry_useful);
    void try_next(const std::string& upstream, bool is_retry_useful);

    order_parts parts_;
    std::shared_ptr<order_shared> shared_;
    order_request request_;
    std::uint64_t fingerprint_;
    std::shared_ptr<const std::string> body_;
    request_id id_;
    std::string id_text_;
    instant deadline_;
    std::shared_ptr<order_reply> reply_;
    std::vector<std::string> tried_;
    unsigned denied_{0};
};

} // namespace berylcrank
