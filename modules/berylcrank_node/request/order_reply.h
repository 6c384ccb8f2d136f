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

/** A prefix for a caller's next id. It is minted 1 ms ahead, because an id minted in the millisecond of a
    refuse horizon is refused. @see order_table */
std::string fresh_prefix(id_minter& minter, const clock& time);

/** Where the answer to one copy of an order goes. The first answer counts, later ones are ignored: the table
    may answer a waiter at its deadline while the order's answer arrives. Safe from any thread.

    @see http_order_reply, relay_order_reply
*/
class order_reply {
public:
    order_reply() = default;
    order_reply(const order_reply&) = delete;
    order_reply& operator=(const order_reply&) = delete;
    virtual ~order_reply() = default;

    /** Sends a whole answer, unless one was sent or started. */
    void send(const order_response& it);

    /** Starts an answer that is too large to be held. Null if that is not possible or one was sent. */
    std::shared_ptr<body_buffer> start_stream(http_response_head head,
                                              std::optional<std::uint64_t> content_bytes);

    /** True if nobody waits for the answer any more. */
    [[nodiscard]] virtual bool is_gone() const = 0;

    /** Sets what is called once when the caller goes away; at once if it has. Only after `start_stream`. */
    virtual void set_on_disconnect(std::function<void()> it) = 0;

protected:
    virtual void do_send(const order_response& it) = 0;
    [[nodiscard]] virtual bool can_stream() const = 0;
    virtual std::shared_ptr<body_buffer> do_start_stream(http_response_head head,
                                                         std::optional<std::uint64_t> content_bytes) = 0;

private:
    std::atomic<bool> claimed_{false};
};

/** Answers a caller of this node.

    @see order_reply
*/
class http_order_reply final : public order_reply {
public:
    http_order_reply(std::shared_ptr<http_exchange> exchange, id_minter& minter, const clock& time);

    [[nodiscard]] bool is_gone() const override { return gone_->is_gone; }
    void set_on_disconnect(std::function<void()> it) override;

protected:
    void do_send(const order_response& it) override;
    [[nodiscard]] bool can_stream() const override { return true; }
    std::shared_ptr<body_buffer> do_start_stream(http_response_head head,
                                                 std::optional<std::uint64_t> content_bytes) override;

private:
    /** Shared with the exchange, which may outlive the reply. */
    struct gone_state {
        std::atomic<bool> is_gone{false};
        mutex guard;
        std::function<void()> on_gone ABSL_GUARDED_BY(guard);
    };

    std::shared_ptr<http_exchange> exchange_;
    id_minter& minter_;
    const clock& time_;
    std::shared_ptr<gone_state> gone_{std::make_shared<gone_state>()};
};

/** Answers a node that relayed an order.

    @see order_reply
*/
class relay_order_reply final : public order_reply {
public:
    relay_order_reply(std::function<void(order_response)> reply, id_minter& minter, const clock& time)
        : reply_(std::move(reply)), minter_(minter), time_(time) {}

    [[nodiscard]] bool is_gone() const override { return false; }
    void set_on_disconnect(std::function<void()> /*it*/) override {}

protected:
    void do_send(const order_response& it) override;
    [[nodiscard]] bool can_stream() const override { return false; }
    std::shared_ptr<body_buffer> do_start_stream(http_response_head /*head*/,
                                                 std::optional<std::uint64_t> /*content_bytes*/) override {
        return nullptr;
    }

private:
    std::function<void(order_response)> reply_;
    id_minter& minter_;
    const clock& time_;
};

} // namespace berylcrank
