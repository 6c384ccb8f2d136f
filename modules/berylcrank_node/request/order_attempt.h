#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_node/request/order_run.h"

#include <memory>
#include <optional>
#include <string>

namespace berylcrank {

/** One attempt of an order at one upstream: checks before the first byte, collects or streams the answer, and
    judges whether the order ran.

    @see order_run
*/
class order_attempt final : public upstream_observer {
public:
    order_attempt(std::shared_ptr<order_run> run, std::unique_ptr<attempt_target> target)
        : run_(std::move(run)), target_(std::move(target)), held_(run_->held()) {}

    /** Gives the call, which is known only after the client has started. */
    void set_call(const std::shared_ptr<upstream_call>& it);

    bool may_send(const connection_info& it) override;
    bool on_head(const http_response_head& head, std::optional<std::uint64_t> content_bytes) override;
    bool on_body(std::span<const char> bytes) override;
    void on_done(const attempt_result& it) override;

private:
    /** The call and whether it must be resumed; shared with callbacks of the answer's buffer. */
    struct call_state {
        mutex guard;
        std::shared_ptr<upstream_call> call ABSL_GUARDED_BY(guard);
        bool resume_when_known ABSL_GUARDED_BY(guard){false};
        bool is_done ABSL_GUARDED_BY(guard){false};

        void resume();
        void end();
    };

    [[nodiscard]] run_verdict judge(const attempt_result& it) const;
    void hold(std::span<const char> bytes);
    void start_stream(std::optional<std::uint64_t> content_bytes);
    [[nodiscard]] order_response answer_for(const attempt_result& it, run_verdict verdict);

    std::shared_ptr<order_run> run_;
    std::unique_ptr<attempt_target> target_;
    std::shared_ptr<call_state> call_{std::make_shared<call_state>()};
    std::optional<std::uint32_t> dispatched_; ///< Number of the attempt once `may_send` allowed it.
    bool asked_again_{false};                 ///< `may_send` was asked after it had allowed the attempt.
    std::optional<http_response_head> head_;
    std::shared_ptr<body_buffer> stream_; ///< Set once the answer is streamed.
    std::string body_;                    ///< The answer's body while it is not streamed.
    held_bytes held_;                     ///< Accounts for `body_`.
    bool too_large_{false};               ///< The body could be neither held nor streamed.
};

} // namespace berylcrank
