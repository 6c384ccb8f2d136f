#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_node/request/download_progress.h"
#include "modules/berylcrank_node/request/idempotent_flow.h"
#include "modules/berylcrank_node/request/message_rules.h"

namespace berylcrank {

/** One request of an idempotent_flow.

    Its attempts follow one another, so only what the caller's side touches is under the lock.
    @see idempotent_flow
*/
class idempotent_request final : public std::enable_shared_from_this<idempotent_request> {
public:
    idempotent_request(idempotent_flow& flow, idempotent_flow::request it);

    void start();

private:
    class attempt;

    /** What follows when this side has cancelled an attempt. */
    enum class after_cancel : std::uint8_t { nothing, abort, try_next };

    void route(bool is_retry);
    void send(std::unique_ptr<attempt_target> target);
    [[nodiscard]] upstream_request make_request(const attempt_target& target, instant now);
    void cancel_for_caller();
    void resume_upstream();
    [[nodiscard]] bool is_gone();

    bool take_head(const http_response_head& head, std::optional<std::uint64_t> content_bytes);
    bool take_body(std::span<const char> bytes);
    void take_end(const attempt_result& it, const std::string& upstream);
    void take_refusal(const attempt_refusal& it);

    void start_stream();
    void complete();
    void fail(const attempt_result& it);
    void refuse(const refusal& it);
    void abort_stream();

    idempotent_flow& flow_;
    idempotent_flow::request request_;
    instant deadline_{instant::never()};
    std::uint64_t fingerprint_{0};

    // The answer so far.
    http_response answer_; ///< Head, and the body as long as it is collected.
    std::optional<std::uint64_t> content_bytes_;
    std::shared_ptr<body_buffer> stream_; ///< Set once the answer has begun.
    download_progress progress_;
    std::uint64_t streamed_at_start_{0}; ///< Bytes given to the caller before the current attempt.
    std::uint64_t streamed_{0};

    // The attempts so far.
    std::vector<std::string> excluded_;
    unsigned attempts_{0};
    unsigned denied_{0};
    run_verdict verdict_{run_verdict::not_run}; ///< Of all attempts together.
    after_cancel after_cancel_{after_cancel::nothing};

    mutex mutex_;
    bool is_gone_ ABSL_GUARDED_BY(mutex_){false};
    bool is_resume_due_ ABSL_GUARDED_BY(mutex_){false};
    std::uint64_t serial_ ABSL_GUARDED_BY(mutex_){0}; ///< Of the current attempt.
    std::shared_ptr<upstream_call> call_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
