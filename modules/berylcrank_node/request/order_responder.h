#pragma once

#include "modules/berylcrank_core/identity/id_minter.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_http/server/http_exchange.h"
#include "modules/berylcrank_once/message/order_message.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace berylcrank {

/** Mints a prefix for a caller's next id. It is dated 1 ms ahead, because an id minted in the millisecond
    of a refusal horizon is refused. @see order_table */
std::string fresh_prefix(id_minter& minter, const clock& time);

/** Sends the response to one copy of an order. Only the first response is sent, later ones are ignored: the
    table may respond to a waiting copy at its deadline while the order's response arrives. Thread-safe.
    @see http_order_responder, relay_order_responder
*/
class order_responder {
public:
    order_responder() = default;
    order_responder(const order_responder&) = delete;
    order_responder& operator=(const order_responder&) = delete;
    virtual ~order_responder() = default;

    /** Sends a complete response, unless one was sent or started. */
    void send(const order_response& it);

    /** Starts a response that is too large to be buffered. Null if that is not possible or one was sent. */
    std::shared_ptr<body_buffer> start_stream(http_response_head head,
                                              std::optional<std::uint64_t> content_bytes);

    /** True if the caller has disconnected. */
    [[nodiscard]] virtual bool is_disconnected() const = 0;

    /** Sets a callback for the caller's disconnection. It is called once, immediately if the caller has
        already disconnected. Only after `start_stream`. */
    virtual void set_on_disconnect(std::function<void()> it) = 0;

protected:
    virtual void do_send(const order_response& it) = 0;
    [[nodiscard]] virtual bool can_stream() const = 0;
    virtual std::shared_ptr<body_buffer> do_start_stream(http_response_head head,
                                                         std::optional<std::uint64_t> content_bytes) = 0;

private:
    std::atomic<bool> is_claimed_{false};
};

/** Responds to a caller of this node.
    @see order_responder
*/
class http_order_responder final : public order_responder {
public:
    http_order_responder(std::shared_ptr<http_exchange> exchange, id_minter& minter, const clock& time);

    [[nodiscard]] bool is_disconnected() const override { return disconnect_->is_disconnected; }
    void set_on_disconnect(std::function<void()> it) override;

protected:
    void do_send(const order_response& it) override;
    [[nodiscard]] bool can_stream() const override { return true; }
    std::shared_ptr<body_buffer> do_start_stream(http_response_head head,
                                                 std::optional<std::uint64_t> content_bytes) override;

private:
    /** Shared with the exchange, which may outlive the responder. */
    struct disconnect_state {
        std::atomic<bool> is_disconnected{false};
        mutex guard;
        std::function<void()> on_disconnect ABSL_GUARDED_BY(guard);
    };

    std::shared_ptr<http_exchange> exchange_;
    id_minter& minter_;
    const clock& time_;
    std::shared_ptr<disconnect_state> disconnect_{std::make_shared<disconnect_state>()};
};

/** Responds to a node that relayed an order.
    @see order_responder
*/
class relay_order_responder final : public order_responder {
public:
    relay_order_responder(std::function<void(order_response)> respond, id_minter& minter, const clock& time)
        : respond_(std::move(respond)), minter_(minter), time_(time) {}

    [[nodiscard]] bool is_disconnected() const override { return false; }
    void set_on_disconnect(std::function<void()> /*it*/) override {}

protected:
    void do_send(const order_response& it) override;
    [[nodiscard]] bool can_stream() const override { return false; }
    std::shared_ptr<body_buffer> do_start_stream(http_response_head /*head*/,
                                                 std::optional<std::uint64_t> /*content_bytes*/) override {
        return nullptr;
    }

private:
    std::function<void(order_response)> respond_;
    id_minter& minter_;
    const clock& time_;
};

} // namespace berylcrank
