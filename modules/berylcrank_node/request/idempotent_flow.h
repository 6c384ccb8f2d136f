#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_http/server/http_exchange.h"
#include "modules/berylcrank_node/request/attempt_router.h"

#include <atomic>

namespace berylcrank {

/** Forwards lookups and downloads to upstreams and their responses to callers.
    A request is retried at another upstream as long as no byte of a response was sent to the caller. A
    download that breaks later is resumed at another upstream with `Range` and `If-Range` if it has a strong
    entity tag and a known length. Otherwise the caller's connection is closed before the response is
    complete.
    @see attempt_router, upstream_client, download_progress
*/
class idempotent_flow {
public:
    struct options {
        unsigned max_attempts{3};    ///< Maximum number of successive attempts without a byte for the caller.
        millis lookup_timeout{5000}; ///< Timeout of a lookup without `Berylcrank-Timeout-Ms`.
        millis stall{10000};         ///< Maximum time without progress of an upstream.
        std::size_t max_buffered_bytes{65536}; ///< Larger responses are streamed.
        std::string id_prefix; ///< Prefix of every request id; must be unique to this incarnation.
    };

    /** A caller's request and the properties that the node has read from it. */
    struct request {
        std::shared_ptr<http_exchange> exchange;
        std::string service;
        berylcrank::request_class request_class{berylcrank::request_class::lookup};
        std::string path;              ///< Path and query as sent to the upstream.
        std::optional<millis> timeout; ///< Maximum timeout of a lookup; `options::lookup_timeout` if not set.
    };

    /** Totals since the start. */
    struct counters {
        std::atomic<std::uint64_t> requests{0};
        std::atomic<std::uint64_t> completed{0}; ///< Complete responses.
        std::atomic<std::uint64_t> refused{0};   ///< Refusals without a response from an upstream.
        std::atomic<std::uint64_t> aborted{0};   ///< Caller's connection closed in the middle of a response.
        std::atomic<std::uint64_t> cancelled{0}; ///< The caller disconnected.
        std::atomic<std::uint64_t> retries{0};   ///< Attempts after the first, except resumed ones.
        std::atomic<std::uint64_t> resumed{0};   ///< Attempts to resume a download.
    };

    /** The arguments must outlive the flow and all its requests. */
    idempotent_flow(options it, attempt_router& router, upstream_client& client, const clock& time)
        : options_(std::move(it)), router_(router), client_(client), clock_(time) {}

    /** Processes a request and responds before or after returning. `Berylcrank-Timeout-Ms` limits a lookup
        as a whole, and a download until its response is sent. */
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
