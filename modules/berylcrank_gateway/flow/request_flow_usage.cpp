#include "modules/berylcrank_gateway/flow/gateway.h"
#include "modules/berylcrank_gateway/flow/request_flow.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr millis max_token_wait{1500};   // for a holder of the cap to respond
constexpr double token_wait_share = 0.5; // of the time until the deadline
constexpr millis min_refusal_time{50};   // before a caller over its limit returns
constexpr millis no_holder_refusal{200};

} // namespace

void request_flow::request_token(std::function<void(const usage_decision&)> done) {
    if (token_requested_ || node_.usage_messages == nullptr) {
        return;
    }
    token_requested_ = true;
    const auto now = node_.time.now();
    const auto patience = std::clamp((deadline_ - now) * token_wait_share, millis{}, max_token_wait);
    node_.usage.request(
        account_number(*account_), *cap_, node_.routes.version(), patience,
        [weak = weak_from_this(), done = std::move(done)](const usage_decision& it) {
            const auto self = weak.lock();
            if (self == nullptr) {
                return;
            }
            self->token_requested_ = false;
            if (self->done_ || self->abandoned_) {
                return;
            }
            self->token_ = it.token;
            done(it);
        },
        *node_.usage_messages, now);
}

void request_flow::request_token_in_queue() {
    request_token([this](const usage_decision& it) {
        if (!it.token) {
            refuse_without_token(it);
        }
    });
}

void request_flow::refuse_without_token(const usage_decision& it) {
    if (it.over_limit) {
        refuse_over_limit(it.wait);
    } else {
        refuse("no-usage-holder", std::max(it.wait, no_holder_refusal));
    }
}

void request_flow::refuse_over_limit(millis wait) {
    node_.last_refusal = node_.time.now();
    // Spread, so that the refused callers do not return at the same moment.
    respond_refusal(429, "over-limit", std::max(min_refusal_time, wait * (1 + node_.random.unit())));
}

} // namespace berylcrank
