#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_node/request/attempt_router.h"

namespace berylcrank {

/** One attempt at the upstream that a router chose: checks whether it may be sent, passes the load report
    on and releases the upstream. Base class for the attempts of a request flow.
    @see attempt_target, upstream_observer
*/
class routed_attempt : public upstream_observer {
public:
    routed_attempt(std::unique_ptr<attempt_target> target, instant deadline, const clock& time)
        : target_(std::move(target)), deadline_(deadline), clock_(time) {}

    [[nodiscard]] const std::string& upstream() const { return target_->upstream(); }
    [[nodiscard]] const std::string& address() const { return target_->address(); }

    bool may_send(const connection_info& it) final {
        return clock_.now() < deadline_ && is_active() && target_->may_send(it);
    }

    bool on_head(const http_response_head& head, std::optional<std::uint64_t> content_bytes) final {
        target_->report_load(find_header(head.headers, "Berylcrank-Load").value_or(std::string_view{}));
        return on_response_head(head, content_bytes);
    }

    void on_done(const attempt_result& it) final {
        if (it.end == attempt_end::shed) {
            target_->report_load(
                find_header(it.shed_head.headers, "Berylcrank-Load").value_or(std::string_view{}));
        }
        target_->finish(it);
        on_attempt_end(it);
    }

protected:
    /** False if the request was cancelled or must no longer be sent. */
    virtual bool is_active() = 0;

    /** Called for the response head, after the load report. @see upstream_observer::on_head */
    virtual bool on_response_head(const http_response_head& head,
                                  std::optional<std::uint64_t> content_bytes) = 0;

    /** The last event, after the upstream was released. */
    virtual void on_attempt_end(const attempt_result& it) = 0;

private:
    std::unique_ptr<attempt_target> target_;
    instant deadline_;
    const clock& clock_;
};

} // namespace berylcrank
