#pragma once

#include "modules/berylcrank_gateway/flow/node_state.h"

#include <memory>

namespace berylcrank {

class attempt;

/** Outcome of an attempt. */
enum class send_result : std::uint8_t {
    response, ///< The upstream sent a complete response.
    not_run,  ///< The upstream reported that it did not run the request, or was never reached.
    unknown,  ///< No complete response that may be forwarded; the request may have run.
};

/** Returns whether callers take a response with this status as a statement that the request did not run and
    never will. */
constexpr bool states_not_run(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/** Interface to the owner of attempts. */
class attempt_owner {
public:
    attempt_owner() = default;
    attempt_owner(const attempt_owner&) = delete;
    attempt_owner& operator=(const attempt_owner&) = delete;
    virtual ~attempt_owner() = default;

    /** Called when more of the response has arrived. `it.body` holds the bytes that the owner has not taken
        yet. */
    virtual void on_progress(attempt& it) = 0;
    /** Called once when the attempt has ended, unless it was cancelled. */
    virtual void on_end(attempt& it) = 0;
};

/** One send of a request to one upstream. Records the send and its outcome in the load_tracker, the
   warmup_limiter and the connection_pool.

    @see request_flow
*/
class attempt final : public response_sink, public std::enable_shared_from_this<attempt> {
public:
    /** Properties of the request that is sent. */
    struct options {
        std::string request_id;
        bool is_idempotent{false};
        std::optional<usage_token> token; ///< Of the caller's account, if it has a usage cap.
    };

    attempt(node_state& node, attempt_owner& owner, upstream_ptr target, options opts);

    /** Sends the serialized request. */
    void start(std::string request, bool no_body);

    /** Logs an attempt that has not ended, with what its connection waits for. */
    void log_unfinished(std::string_view event) const;

    /** Detaches the owner, closes the connection and ends the attempt with send_result::unknown. */
    void cancel();

    head_action on_head(const response_head& head) override;
    void on_body(std::string_view bytes) override;
    void on_done(bool reusable) override;
    void on_failed(call_failure reason) override;

    /** Fails the attempt if its connection is not established within the connect timeout. Call this
        periodically. */
    void check_connect_timeout(instant now);

    /** Records that reading the response resumes, so that the pause does not count as silence of the
        upstream. */
    void on_reading_resumed() { last_activity_ = node_.time.now(); }

    [[nodiscard]] const upstream& target() const { return *target_; }
    [[nodiscard]] bool ended() const { return ended_; }
    [[nodiscard]] send_result result() const { return result_; }
    [[nodiscard]] call_failure failure() const { return failure_; }
    /** Returns true if the connection was lost after the request was sent and before a complete response. */
    [[nodiscard]] bool connection_lost() const {
        return ended_ && !complete && result_ == send_result::unknown && failure_ != call_failure::garbled;
    }
    /** Start time of the upstream when the request was sent. */
    [[nodiscard]] std::uint64_t upstream_run() const { return upstream_run_; }
    [[nodiscard]] bool reached() const { return connection_ && connection_->connected(); }
    [[nodiscard]] instant started() const { return started_; }
    /** When the last bytes of the response arrived, the request was sent or reading resumed. */
    [[nodiscard]] instant last_activity() const { return last_activity_; }
    /** Number of body bytes received. */
    [[nodiscard]] std::size_t received() const { return received_; }
    [[nodiscard]] const client_connection_ptr& connection() const { return connection_; }
    [[nodiscard]] const std::optional<usage_token>& token() const { return options_.token; }

    /** Returns true if the head of a response has arrived that may be forwarded to the caller. */
    [[nodiscard]] bool has_forwardable_head() const { return has_head && !not_run && !withheld; }

    response_head head;                ///< Valid if `has_head`.
    std::string body;                  ///< Received bytes that the owner has not taken.
    std::optional<load_snapshot> load; ///< Load that the upstream reported in the response.
    bool has_head{false};
    bool not_run{false};  ///< The upstream reported that it did not run the request.
    bool withheld{false}; ///< The status would tell the caller that the request did not run, but the upstream
                          ///< does not report that, and the request must not run twice.
    bool complete{false}; ///< The whole response has arrived.

private:
    /** Returns what to do with a response, by the request id and the signature that it carries. */
    [[nodiscard]] head_action classify(const response_head& it) const;
    void log_withheld() const;
    void end(send_result result);
    void count_outcome(bool good, double weight);

    node_state& node_;
    attempt_owner* owner_;
    upstream_ptr target_;
    options options_;
    std::uint64_t upstream_run_;
    client_connection_ptr connection_;
    in_flight_slot slot_;
    std::shared_ptr<attempt> self_reference_; // keeps the attempt alive until it ends
    instant started_;
    instant last_activity_;
    std::size_t received_{0};
    send_result result_{send_result::unknown};
    call_failure failure_{call_failure::no_response};
    bool ended_{false};
};

} // namespace berylcrank
