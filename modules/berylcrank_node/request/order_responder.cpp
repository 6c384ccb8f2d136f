#include "modules/berylcrank_node/request/order_responder.h"

#include "modules/berylcrank_node/request/order_headers.h"

namespace berylcrank {

std::string fresh_prefix(id_minter& minter, const clock& time) {
    return minter.mint_prefix(time.now() + millis{1});
}

void order_responder::send(const order_response& it) {
    if (!is_claimed_.exchange(true)) {
        do_send(it);
    }
}

std::shared_ptr<body_buffer> order_responder::start_stream(http_response_head head,
                                                           std::optional<std::uint64_t> content_bytes) {
    if (!can_stream() || is_claimed_.exchange(true)) {
        return nullptr;
    }
    return do_start_stream(std::move(head), content_bytes);
}

http_order_responder::http_order_responder(std::shared_ptr<http_exchange> exchange, id_minter& minter,
                                           const clock& time)
    : exchange_(std::move(exchange)), minter_(minter), time_(time) {
    exchange_->set_on_disconnect([state = disconnect_] {
        state->is_disconnected = true;
        std::function<void()> callback;
        {
            const lock_guard hold(state->guard);
            callback = std::move(state->on_disconnect);
        }
        if (callback) {
            callback();
        }
    });
}

void http_order_responder::set_on_disconnect(std::function<void()> it) {
    {
        const lock_guard hold(disconnect_->guard);
        if (!disconnect_->is_disconnected) {
            disconnect_->on_disconnect = std::move(it);
            return;
        }
    }
    it();
}

void http_order_responder::do_send(const order_response& it) {
    exchange_->respond(to_http(it, fresh_prefix(minter_, time_)));
}

std::shared_ptr<body_buffer>
http_order_responder::do_start_stream(http_response_head head, std::optional<std::uint64_t> content_bytes) {
    add_verdict(head.headers, run_verdict::ran, fresh_prefix(minter_, time_));
    return exchange_->start_response(std::move(head), content_bytes);
}

void relay_order_responder::do_send(const order_response& it) {
    auto out = it;
    out.id_prefix = fresh_prefix(minter_, time_);
    respond_(std::move(out));
}

} // namespace berylcrank
