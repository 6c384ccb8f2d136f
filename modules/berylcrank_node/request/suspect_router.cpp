#include "modules/berylcrank_node/request/suspect_router.h"

#include "modules/berylcrank_node/request/load_header.h"

#include <utility>

namespace berylcrank {

namespace {

constexpr int status_unavailable = 503;
constexpr int first_server_error = 500;

using action_kind = suspect_verdict::action_kind;

// Returns whether the upstream may have crashed during the attempt.
bool is_lost(const attempt_result& it) {
    const bool ended = it.end == attempt_end::reset || it.end == attempt_end::truncated ||
                       it.end == attempt_end::timed_out || it.end == attempt_end::stalled;
    return ended && it.verdict != run_verdict::not_run;
}

bool is_closed_by_upstream(attempt_end it) {
    return it == attempt_end::reset || it == attempt_end::truncated;
}

} // namespace

/** Reports to the suspect_table how an attempt at another router's target ends. */
class suspect_router::target final : public attempt_target {
public:
    target(const dependencies& deps, std::unique_ptr<attempt_target> next, std::uint64_t fingerprint,
           bool is_trial)
        : deps_(deps), next_(std::move(next)), fingerprint_(fingerprint), is_trial_(is_trial),
          run_(deps.runs.run_of(next_->upstream())), sent_at_(deps.time.now()) {}

    ~target() override { end_trial(); }
    target(const target&) = delete;
    target& operator=(const target&) = delete;

    [[nodiscard]] const std::string& upstream() const override { return next_->upstream(); }
    [[nodiscard]] const std::string& address() const override { return next_->address(); }
    [[nodiscard]] std::optional<millis> run_limit() const override { return next_->run_limit(); }

    bool may_send(const connection_info& it) override {
        sent_at_ = deps_.time.now();
        return next_->may_send(it);
    }

    void report_load(std::string_view header) override {
        deps_.runs.on_response(upstream(), parse_load_header(header).incarnation, deps_.time.now());
        next_->report_load(header);
    }

    void finish(const attempt_result& it) override {
        const auto now = deps_.time.now();
        if (is_lost(it)) {
            deps_.suspects.on_lost(fingerprint_,
                                   {.upstream = upstream_runs::number_of(upstream()),
                                    .run = run_,
                                    .sent_at = sent_at_,
                                    .lost_at = now,
                                    .closed = is_closed_by_upstream(it.end)},
                                   now);
            is_trial_ = false;
        } else if (it.end == attempt_end::complete && it.status < first_server_error) {
            deps_.suspects.on_success(fingerprint_, now);
            is_trial_ = false;
        }
        end_trial();
        next_->finish(it);
    }

private:
    void end_trial() {
        if (std::exchange(is_trial_, false)) {
            deps_.suspects.on_trial_unused(fingerprint_);
        }
    }

    dependencies deps_;
    std::unique_ptr<attempt_target> next_;
    std::uint64_t fingerprint_;
    bool is_trial_;
    std::uint64_t run_;
    instant sent_at_;
};

void suspect_router::route(attempt_request it, target_callback found, refusal_callback refused) {
    const auto fingerprint = it.fingerprint;
    if (it.is_retry && !deps_.suspects.allows_retry(fingerprint)) {
        refused({.status = status_unavailable,
                 .reason = "the request may crash upstreams, it is not sent again",
                 .is_retry_useful = false});
        return;
    }
    const auto action =
        it.is_retry ? action_kind::run : deps_.suspects.check(fingerprint, deps_.time.now()).action;
    if (action == action_kind::refuse) {
        refused({.status = status_unavailable,
                 .reason = "the request has crashed the upstreams that ran it",
                 .is_retry_useful = false});
        return;
    }
    const bool is_trial = action == action_kind::trial;
    deps_.next.route(
        std::move(it),
        [this, fingerprint, is_trial, found = std::move(found)](std::unique_ptr<attempt_target> next) {
            found(std::make_unique<target>(deps_, std::move(next), fingerprint, is_trial));
        },
        [this, fingerprint, is_trial, refused = std::move(refused)](attempt_refusal reason) {
            if (is_trial) {
                deps_.suspects.on_trial_unused(fingerprint);
            }
            refused(std::move(reason));
        });
}

} // namespace berylcrank
