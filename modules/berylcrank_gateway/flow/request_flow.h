#pragma once

#include "modules/berylcrank_gateway/flow/attempt.h"
#include "modules/berylcrank_gateway/server/exchange.h"

#include <functional>
#include <memory>
#include <vector>

namespace berylcrank {

class gateway;

/** One request of a caller from its arrival to its response: waits for room, is sent to upstreams, may be
   sent again where that is allowed, and is answered once.

    @see gateway, attempt
*/
class request_flow final : public attempt_owner, public std::enable_shared_from_this<request_flow> {
public:
    request_flow(gateway& owner, node_state& node, exchange_ptr caller,
                 std::shared_ptr<const route_entry> route, std::string service, std::uint64_t number);

    /** Looks for room; waits or refuses if there is none. */
    void start();

    /** Sends the request to an upstream that was picked for it. */
    void send(const upstream_pick& pick);

    /** Picks an upstream that the request has not reached; `in_time_only`: one where it would not be late. */
    upstream_pick pick(bool in_time_only = false);

    /** Gives up waiting: answers that the request did not run. */
    void refuse(std::string_view reason);

    /** Ends what has run out of time. Called regularly. */
    void check_time(instant now);

    void on_progress(attempt& it) override;
    void on_end(attempt& it) override;

    [[nodiscard]] std::uint64_t number() const { return number_; }
    [[nodiscard]] const std::string& service() const { return service_; }
    [[nodiscard]] const route_entry& route() const { return *route_; }
    [[nodiscard]] bool done() const { return done_; }
    /** Whether the request can no longer be answered within its latency target. */
    [[nodiscard]] bool late(instant now) const;

private:
    [[nodiscard]] choice_request choice(const std::vector<upstream_ptr>& members, instant now) const;
    [[nodiscard]] std::string serialized(const upstream& target, instant now) const;
    [[nodiscard]] admission_inputs admission(instant now, std::size_t ahead) const;
    [[nodiscard]] bool start_allows(const std::vector<upstream_ptr>& members, instant now) const;
    [[nodiscard]] bool may_send_again(instant now);
    [[nodiscard]] std::size_t open_attempts() const;
    void cancel_others(const attempt& chosen);
    [[nodiscard]] hedge_inputs hedge_state(const attempt& open, instant now) const;
    void hedge_if_due(instant now);
    void end_at_deadline(const std::vector<std::shared_ptr<attempt>>& attempts, instant now);
    void send_again_or(const std::function<void()>& otherwise, std::string_view reason);
    void log_end(const attempt& it);
    void deliver(attempt& it);
    void begin_response(const response_head& head, std::optional<std::uint64_t> length);
    void fail(int status, std::string_view reason);
    void caller_left();
    void finish(std::string_view result, int status);
    void drop_attempts();

    gateway& gateway_;
    node_state& node_;
    exchange_ptr caller_;
    std::shared_ptr<const route_entry> route_;
    std::string service_;
    std::uint64_t number_;
    std::string id_;
    instant deadline_;
    millis before_; // how long the caller had been waiting
    std::vector<std::shared_ptr<attempt>> attempts_;
    std::vector<std::uint32_t> tried_;
    attempt* passing_on_{nullptr}; // the attempt whose response is being passed on piece by piece
    int sends_{0};
    int unreached_{0};
    bool may_have_run_{false};
    bool waiting_{false};
    bool abandoned_{false};
    bool done_{false};
};

} // namespace berylcrank
