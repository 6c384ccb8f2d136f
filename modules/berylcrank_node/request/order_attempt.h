#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_node/request/order_execution.h"

#include <memory>
#include <optional>
#include <string>

namespace berylcrank {

/** One attempt of an order at one upstream: checks before the first byte, buffers or streams the response,
    and determines whether the order ran.
    @see order_execution
*/
class order_attempt final : public upstream_observer {
public:
    order_attempt(std::shared_ptr<order_execution> execution, std::unique_ptr<attempt_target> target)
        : execution_(std::move(execution)), target_(std::move(target)),
          reservation_(execution_->buffer_budget()) {}

    /** Sets the call, which is known only after the client has started. */
    void set_call(const std::shared_ptr<upstream_call>& it);

    bool may_send(const connection_info& it) override;
    bool on_head(const http_response_head& head, std::optional<std::uint64_t> content_bytes) override;
    bool on_body(std::span<const char> bytes) override;
    void on_done(const attempt_result& it) override;

private:
    /** The call and whether it must be resumed; shared with callbacks of the response's buffer. */
    struct call_state {
        mutex guard;
        std::shared_ptr<upstream_call> call ABSL_GUARDED_BY(guard);
        bool resume_on_set ABSL_GUARDED_BY(guard){false};
        bool is_done ABSL_GUARDED_BY(guard){false};

        void resume();
        void end();
    };

    [[nodiscard]] run_verdict determine_verdict(const attempt_result& it) const;
    void buffer_body(std::span<const char> bytes);
    void start_stream(std::optional<std::uint64_t> content_bytes);
    [[nodiscard]] order_response make_response(const attempt_result& it, run_verdict verdict);

    std::shared_ptr<order_execution> execution_;
    std::unique_ptr<attempt_target> target_;
    std::shared_ptr<call_state> call_{std::make_shared<call_state>()};
    std::optional<std::uint32_t> dispatched_; ///< Number of the attempt, set once `may_send` has allowed it.
    bool second_send_requested_{false}; ///< `may_send` was called again after it had allowed the attempt.
    std::optional<http_response_head> head_;
    std::shared_ptr<body_buffer> stream_; ///< Set once the response is being streamed.
    std::string body_;                    ///< The response's body while it is buffered.
    byte_reservation reservation_;        ///< Reserves the bytes of `body_`.
    bool body_dropped_{false};            ///< The body could be neither buffered nor streamed.
};

} // namespace berylcrank
