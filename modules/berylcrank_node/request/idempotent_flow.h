#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_http/server/http_exchange.h"
#include "modules/berylcrank_node/request/attempt_router.h"

#include <atomic>

namespace berylcrank {

/** Carries lookups and downloads from callers to upstreams and their answers back.

    A request is tried again at another upstream as long as no byte of an answer went to the caller. A
   download that breaks later is continued at another upstream by `Range` and `If-Range` if it has a strong
   entity tag and a known length; otherwise the caller's connection is closed without completing the answer.
    @see attempt_router, upstream_client, download_progress
*/
class idempotent_flow {
public:
    struct options {
        unsigned attempts{3};                  ///< Most attempts in a row without a byte for the caller.
        millis lookup_timeout{5000};           ///< Deadline of a lookup without `Berylcrank-Timeout-Ms`.
        millis stall{10000};                   ///< Longest time without progress of an upstream.
        std::size_t whole_answer_bytes{65536}; ///< Up to this size an answer is sent when it is whole.
        std::string id_prefix;                 ///< Begins every request id; must be unique to this run.
    };

    /** A request of a caller with what the node has read from it. */
    struct request {
        std::shared_ptr<http_exchange> exchange;
        std::string service;
        berylcrank::request_class request_class{berylcrank::request_class::lookup};
        std::string path;              ///< Path and query as sent to the upstream.
        std::optional<millis> timeout; ///< Longest deadline of a lookup; none: `options::lookup_timeout`.
    };

    /** Totals since the start. */
    struct counters {
        std::atomic<std::uint64_t> requests{0};
        std::atomic<std::uint64_t> completed{0}; ///< Whole answers.
        std::atomic<std::uint64_t> refused{0};   ///< Answered without an upstream's answer.
        std::atomic<std::uint64_t> aborted{0};   ///< Caller's connection closed in the middle of an answer.
        std::atomic<std::uint64_t> cancelled{0}; ///< The caller left.
        std::atomic<std::uint64_t> retries{0};   ///< Attempts after the first, without those below.
        std::atomic<std::uint64_t> resumed{0};   ///< Attempts to continue a download.
    };

    /** The arguments must outlive the flow and all its requests. */
    idempotent_flow(options it, attempt_router& router, upstream_client& client, const clock& time)
        : options_(std::move(it)), router_(router), client_(client), clock_(time) {}

    /** Answers the request, now or later. `Berylcrank-Timeout-Ms` limits a lookup as a whole, and a download
        until it is sent. */
    void run(request it);

    [[nodiscard]] const counters& counted() const { return counters_; }

private:
    friend class idempotent_request;

    options options_;
    attempt_router& router_;
    upstream_client& client_;
    const clock& clock_;
    counters counters_;
    std::atomic<std::uint64_t> last_id_{0};
};

} // namespace berylcrank
