#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_node/request/download_progress.h"
#include "modules/berylcrank_node/request/idempotent_flow.h"
#include "modules/berylcrank_node/request/message_forwarding.h"

namespace berylcrank {

/** One request of an `idempotent_flow`.
    Its attempts run one after another, so the lock guards only the members that the caller's events access.
    @see idempotent_flow
*/
class idempotent_request final : public std::enable_shared_from_this<idempotent_request> {
public:
    idempotent_request(idempotent_flow& flow, idempotent_flow::request it);

    void start();

private:
    class attempt;

    /** Next step after this request has cancelled its own attempt. */
    enum class after_cancel : std::uint8_t { nothing, abort, try_next };

    void route(bool is_retry);
    void send(std::unique_ptr<attempt_target> target);
    [[nodiscard]] upstream_request make_request(const attempt_target& target, instant now);
    void on_caller_disconnected();
    void resume_upstream();
    [[nodiscard]] bool is_disconnected();

    bool on_head(const http_response_head& head, std::optional<std::uint64_t> content_bytes);
    bool on_body(std::span<const char> bytes);
    void on_attempt_end(const attempt_result& it, const std::string& upstream);
    void on_route_refusal(const attempt_refusal& it);

    void start_stream();
    void complete();
    void fail(const attempt_result& it);
    void refuse(const refusal& it);
    void abort_stream();

    idempotent_flow& flow_;
    idempotent_flow::request request_;
    instant deadline_{instant::never()};
    std::uint64_t fingerprint_{0};

    // The response so far.
    http_response response_; ///< Head, and the body while it is buffered.
    std::optional<std::uint64_t> content_bytes_;
    std::shared_ptr<body_buffer> stream_; ///< Set once the response is being streamed.
    download_progress progress_;
    std::uint64_t streamed_before_attempt_{0}; ///< Bytes sent to the caller before the current attempt.
    std::uint64_t streamed_{0};

    // The attempts so far.
    std::vector<std::string> excluded_;
    unsigned attempts_{0};
    unsigned denied_attempts_{0};
    run_verdict verdict_{run_verdict::not_run}; ///< Verdict of all attempts together.
    after_cancel after_cancel_{after_cancel::nothing};

    mutex mutex_;
    bool is_disconnected_ ABSL_GUARDED_BY(mutex_){false};
    bool is_resume_due_ ABSL_GUARDED_BY(mutex_){false};
    std::uint64_t attempt_serial_ ABSL_GUARDED_BY(mutex_){0}; ///< Number of the current attempt.
    std::shared_ptr<upstream_call> call_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
