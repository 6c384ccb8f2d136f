#pragma once

#include "modules/berylcrank_core/identity/request_id.h"
#include "modules/berylcrank_http/client/upstream_client.h"
#include "modules/berylcrank_node/request/attempt_router.h"
#include "modules/berylcrank_node/request/byte_budget.h"
#include "modules/berylcrank_node/request/order_responder.h"
#include "modules/berylcrank_once/berylcrank_once.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace berylcrank {

/** Components that an order uses at its home node. All must outlive every order. @see order_flow */
struct order_dependencies {
    const clock& time;
    id_minter& minter;
    order_table& table;
    attempt_router& router;
    upstream_client& client;
};

/** Limits of an order at its home node. @see order_flow */
struct order_limits {
    unsigned max_attempts{2}; ///< Maximum upstreams tried while each is proven not to have run the order.
    std::size_t recordable_bytes{65536};            ///< Larger responses are streamed to the first caller.
    std::size_t max_buffered_bytes{8388608};        ///< Limit per response that cannot be streamed.
    std::size_t max_total_buffered_bytes{67108864}; ///< Limit for the responses of all orders.
};

/** State shared by the orders of a flow; each of them keeps it alive. */
struct order_shared_state {
    explicit order_shared_state(const order_limits& it)
        : limits(it), buffer_budget(it.max_total_buffered_bytes) {}

    order_limits limits;
    byte_budget buffer_budget;
    std::atomic<std::size_t> running{0}; ///< Orders admitted and not finished.
};

/** One admitted order: routing and attempts. Only one attempt is in progress at a time.
    @see order_flow, order_attempt
*/
class order_execution : public std::enable_shared_from_this<order_execution> {
public:
    order_execution(const order_dependencies& deps, std::shared_ptr<order_shared_state> shared,
                    order_request request, const request_id& id, instant deadline,
                    std::shared_ptr<order_responder> responder);

    ~order_execution() { --shared_->running; }
    order_execution(const order_execution&) = delete;
    order_execution& operator=(const order_execution&) = delete;

    /** Requests an upstream, for the first attempt or after one that did not run. */
    void route();

    /** Checks immediately before the first byte whether the attempt may be sent. @return The attempt's
        number if it may. @see order_table::begin_dispatch */
    std::optional<std::uint32_t> begin_dispatch();

    /** Handles an attempt that ended before `begin_dispatch` allowed it. */
    void on_not_sent(const std::string& upstream, bool is_retry_useful);

    /** Handles an attempt that the check before the first byte denied, e.g. because a new connection needs
        a permit. The order is routed again, which is not a retry. */
    void on_denied(const std::string& upstream);

    /** Handles a dispatched attempt that is proven not to have run. `is_retry_useful` is false if the
        upstream asks for no retry, because it is overloaded. */
    void on_not_run(std::uint32_t attempt, const std::string& upstream, bool is_retry_useful);

    /** Handles a dispatched attempt that ran or may have run. */
    void on_finished(std::uint32_t attempt, order_response response);

    /** Responder of the first copy. */
    [[nodiscard]] const std::shared_ptr<order_responder>& responder() const { return responder_; }

    [[nodiscard]] const order_limits& limits() const { return shared_->limits; }

    /** Limits the response bytes that all orders together buffer. */
    [[nodiscard]] byte_budget& buffer_budget() const { return shared_->buffer_budget; }

private:
    void start(std::unique_ptr<attempt_target> target);
    void refuse(int status, std::string reason, bool is_retry_useful);
    void try_next(const std::string& upstream, bool is_retry_useful);

    order_dependencies deps_;
    std::shared_ptr<order_shared_state> shared_;
    order_request request_;
    std::uint64_t fingerprint_;
    std::shared_ptr<const std::string> body_;
    request_id id_;
    std::string id_text_;
    instant deadline_;
    std::shared_ptr<order_responder> responder_;
    std::vector<std::string> tried_upstreams_;
    unsigned denied_attempts_{0};
};

} // namespace berylcrank
