#pragma once

#include "modules/berylcrank_gateway/flow/node_state.h"

#include <memory>

namespace berylcrank {

class attempt;

/** What one attempt proved. */
enum class send_result : std::uint8_t {
    response, ///< A whole response, or one that is being passed on.
    not_run,  ///< The upstream said that it did not run the request, or was never reached.
    unknown,  ///< No whole response; the request may have run.
};

/** What owns attempts. */
class attempt_owner {
public:
    attempt_owner() = default;
    attempt_owner(const attempt_owner&) = delete;
    attempt_owner& operator=(const attempt_owner&) = delete;
    virtual ~attempt_owner() = default;

    /** More of the response has arrived; `it.body` holds what was not passed on. */
    virtual void on_progress(attempt& it) = 0;
    /** The attempt has ended. */
    virtual void on_end(attempt& it) = 0;
};

/** One send of a request to one upstream: keeps the load book, the warm-up gate and the connection pool
   informed.

    @see request_flow
*/
class attempt final : public response_sink, public std::enable_shared_from_this<attempt> {
public:
    attempt(node_state& node, attempt_owner& owner, upstream_ptr target, std::string request_id);

    /** Sends the serialized request. */
    void start(std::string request, bool no_body);

    /** Ends it without a result and closes the connection. */
    void cancel();

    bool on_head(const response_head& head) override;
    void on_body(std::string_view bytes) override;
    void on_done(bool reusable) override;
    void on_failed(call_failure why) override;

    /** Fails an attempt that is not connected in time. */
    void check_connect(instant now);

    [[nodiscard]] const upstream& target() const { return *target_; }
    [[nodiscard]] bool ended() const { return ended_; }
    [[nodiscard]] send_result result() const { return result_; }
    [[nodiscard]] call_failure failure() const { return failure_; }
    [[nodiscard]] bool reached() const { return connection_ && connection_->connected(); }
    [[nodiscard]] instant started() const { return started_; }
    [[nodiscard]] instant last_news() const { return last_news_; }
    /** Bytes of the response's body that have arrived. */
    [[nodiscard]] std::size_t received() const { return received_; }
    [[nodiscard]] const client_connection_ptr& connection() const { return connection_; }

    response_head head;                ///< Set when `has_head`.
    std::string body;                  ///< Bytes that the owner has not taken.
    std::optional<load_snapshot> load; ///< What the upstream said of its load in the response.
    bool has_head{false};
    bool not_run{false};  ///< The upstream says so.
    bool complete{false}; ///< The response is whole.

private:
    void end(send_result result);
    void count_outcome(bool good, double weight);

    node_state& node_;
    attempt_owner* owner_;
    upstream_ptr target_;
    std::string request_id_;
    client_connection_ptr connection_;
    std::shared_ptr<attempt> keep_;
    instant started_;
    instant last_news_;
    std::size_t received_{0};
    send_result result_{send_result::unknown};
    call_failure failure_{call_failure::no_response};
    bool counted_{false};
    bool ended_{false};
};

} // namespace berylcrank
