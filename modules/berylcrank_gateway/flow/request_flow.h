#pragma once

#include "modules/berylcrank_gateway/flow/attempt.h"
#include "modules/berylcrank_gateway/server/exchange.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace berylcrank {

class gateway;

/** A request of a caller, from its arrival to the end of its response. Waits for a free slot, sends the
    request to an upstream, retries or hedges where the route allows it, and responds once.

    @see gateway, attempt
*/
class request_flow final : public attempt_owner, public std::enable_shared_from_this<request_flow> {
public:
    request_flow(gateway& owner, node_state& node, exchange_ptr caller,
                 std::shared_ptr<const route_entry> route, std::string service, std::uint64_t number);

    /** Sends the request if an upstream can take it; otherwise queues or refuses it. */
    void start();

    /** Sends the request to the picked upstream. */
    void send(const upstream_pick& pick);

    /** Picks an upstream to which the request has not been sent. With `in_time_only`, only one at which the
        response is expected within the latency target. */
    upstream_pick pick(bool in_time_only = false);

    /** Responds that the request did not run and when to retry it. `reason` is logged. Without `after`, the
        time results from the length of the queue. */
    void refuse(std::string_view reason, std::optional<millis> after = std::nullopt);

    /** Refuses a request that is known to crash upstreams. Returns whether it did. */
    bool refuse_if_suspect();

    /** Responds 401 to a request that the active configuration does not allow, because its key has been
        removed since it arrived. Returns whether it did. */
    bool refuse_without_access();

    /** Refuses a request that the stop of the process would cut off. Returns whether it did. */
    bool refuse_if_stopping();

    /** Returns whether the usage cap of the caller's account allows to send the request once now. */
    [[nodiscard]] bool may_use(instant now) const { return !cap_ || (token_ && now < token_->valid_until); }

    /** Requests a token for a queued request that an upstream can take, unless one is requested already. The
        request is sent when the token has arrived, or refused without one. */
    void request_token_in_queue();

    /** Ends attempts and responses whose time is up. Call this periodically. */
    void check_timeouts(instant now);

    /** Logs the attempts that have not ended when the process exits. */
    void log_unfinished() const;

    void on_progress(attempt& it) override;
    void on_end(attempt& it) override;

    [[nodiscard]] std::uint64_t number() const { return number_; }
    [[nodiscard]] const std::string& service() const { return service_; }
    [[nodiscard]] const route_entry& route() const { return *route_; }
    [[nodiscard]] bool done() const { return done_; }
    /** Returns true if the request can no longer complete within its latency target. */
    [[nodiscard]] bool late(instant now) const;

private:
    [[nodiscard]] choice_request make_choice_request(const std::vector<upstream_ptr>& members,
                                                     instant now) const;
    [[nodiscard]] std::string serialized(const upstream& target, instant now) const;
    [[nodiscard]] admission_inputs make_admission_inputs(instant now, std::size_t ahead) const;
    [[nodiscard]] bool start_limit_allows(const std::vector<upstream_ptr>& members, instant now) const;
    [[nodiscard]] bool stop_allows_send(instant now) const;
    /** Sends the request if an upstream and the usage cap allow it; otherwise queues or refuses it. */
    void place();
    void wait_for_slot(bool is_late, millis max_wait, instant now);
    /** Requests a token, unless one is requested already. Then calls `done` if the request is still open. */
    void request_token(std::function<void(const usage_decision&)> done);
    void refuse_without_token(const usage_decision& it);
    void refuse_over_limit(millis wait);
    void respond_refusal(int status, std::string_view reason, millis after);
    [[nodiscard]] bool may_retry(instant now);
    /** Returns whether the active configuration allows the request, and updates its account and priority. A
        request that is queued keeps its place. */
    [[nodiscard]] bool has_access();
    [[nodiscard]] bool is_forwarded_header(std::string_view name) const;
    [[nodiscard]] std::string caller_identity() const;
    [[nodiscard]] std::size_t open_attempts() const;
    void cancel_others(const attempt& chosen);
    [[nodiscard]] hedge_inputs make_hedge_inputs(const attempt& open, instant now) const;
    void hedge_if_due(instant now);
    void end_at_deadline(instant now);
    void end_if_silent(instant now);
    /** Returns true if the upstream of an open attempt has sent nothing for the silence limit although this
        node reads. */
    [[nodiscard]] bool is_silent(const attempt& it, instant now) const;
    /** Reports the upstreams that have not begun to respond, or have gone silent, when the time for it has
        passed. */
    void report_unresponsive(instant now);
    void retry_or(const std::function<void()>& fallback, std::string_view reason);
    void log_attempt_end(const attempt& it);
    [[nodiscard]] request_suspicion& suspicion();
    [[nodiscard]] bool suspicion_allows_retry();
    void report_crash_evidence(const attempt& it);
    void report_loss(const attempt& it, instant now);
    void deliver_response(attempt& it);
    void deliver_whole(const attempt& it, std::string_view result);
    void begin_response(const response_head& head, std::optional<std::uint64_t> length);
    void fail(int status, std::string_view reason);
    void on_caller_disconnected();
    void finish(std::string_view result, int status);
    void cancel_attempts();

    gateway& gateway_;
    node_state& node_;
    exchange_ptr caller_;
    std::shared_ptr<const route_entry> route_;
    std::string service_;
    std::uint64_t number_;
    std::string id_;
    instant deadline_;
    std::optional<std::string> account_;           // name of the caller's account
    std::optional<usage_limits> cap_;              // of the caller's account
    std::optional<usage_token> token_;             // allows the next send
    int priority_;                                 // of the account, otherwise of the route
    std::optional<std::uint64_t> checked_version_; // configuration that allowed the request
    bool hides_credentials_{false};                // a configuration with accounts was active
    millis waited_before_;                         // time that the caller had waited in earlier attempts
    std::vector<std::shared_ptr<attempt>> attempts_;
    std::vector<std::uint32_t> tried_;
    attempt* streamed_attempt_{nullptr};         // the attempt whose response is being streamed to the caller
    std::optional<request_suspicion> suspicion_; // created when it is first needed
    int sent_count_{0};
    int connect_failures_{0};
    bool may_have_run_{false};
    bool waiting_{false};
    bool token_requested_{false};
    bool hedge_over_limit_{false}; // the account had no token for a second attempt
    bool abandoned_{false};
    bool is_trial_{false}; // tests whether a suspect still crashes upstreams
    bool done_{false};
};

} // namespace berylcrank
