#pragma once

#include "modules/berylcrank_core/time/millis.h"
#include "modules/berylcrank_core/verdict/run_verdict.h"
#include "modules/berylcrank_http/loop/event_loop.h"
#include "modules/berylcrank_http/message/http_message.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace berylcrank {

/** One attempt at an upstream. @see upstream_client */
struct upstream_request {
    std::string upstream; ///< Name of the upstream.
    std::string address;  ///< IP address and port.
    std::string method;
    std::string path; ///< Path and query.
    std::vector<http_header> headers;
    std::shared_ptr<const std::string> body; ///< May be null.
    std::string request_id;                  ///< Sent as `Berylcrank-Request-Id`; the answer must echo it.
    std::optional<millis> timeout;           ///< Time for the whole attempt; none for downloads.
    millis stall{10000};                     ///< Longest time without progress, but for refused `on_body`.
    bool idempotent{true};                   ///< False: never sent twice, not even by the HTTP library.
};

/** The connection that an attempt is about to use. @see upstream_observer::may_send */
struct connection_info {
    std::uint16_t local_port{0}; ///< Identifies the connection among those to the same upstream.
    bool is_new{true};           ///< No request was sent on it before.
};

/** How an attempt ended. @see attempt_result */
enum class attempt_end : std::uint8_t {
    complete,       ///< Whole answer received.
    connect_failed, ///< No connection; no byte was sent.
    denied,         ///< `may_send` said no; no byte was sent.
    shed,           ///< Explicit `not-run` answer of the upstream.
    reset,          ///< Connection lost after the request was at least partly sent.
    timed_out,
    stalled,
    truncated, ///< The answer ended early.
    wrong_id,  ///< The answer carried no or another request id.
    malformed, ///< Not an HTTP/1.1 answer, or one whose length is unknown or contradictory.
    cancelled, ///< Cancelled, or `on_head` refused the answer.
};

/** Result of an attempt. @see upstream_observer::on_done */
struct attempt_result {
    attempt_end end{attempt_end::reset};
    run_verdict verdict{run_verdict::may_have_run};
    int status{0};                ///< HTTP status; 0 without an answer head.
    std::uint64_t body_bytes{0};  ///< Bytes of body given to `on_body`.
    connection_info connection{}; ///< The connection used, if any.
    millis total;                 ///< From start to end.
    http_response_head shed_head; ///< Head of a shed answer, else empty.
};

/** Receives the events of one attempt on the client's thread for that upstream; must not block.

    @see upstream_client
*/
class upstream_observer {
public:
    upstream_observer() = default;
    upstream_observer(const upstream_observer&) = delete;
    upstream_observer& operator=(const upstream_observer&) = delete;
    virtual ~upstream_observer() = default;

    /** Asked after connecting, immediately before the first byte of the request; false abandons the attempt
       with `attempt_end::denied`. Deadline, cancellation, order state and permits are checked here. Asked at
       most once: if the HTTP library would send the request a second time, the attempt ends with `reset`. */
    virtual bool may_send(const connection_info& it) = 0;

    /** The head of an answer with the right request id that is not a shed answer; false cancels the attempt.
     */
    virtual bool on_head(const http_response_head& head, std::optional<std::uint64_t> content_bytes) = 0;

    /** A part of the body; false if it was not taken, then the same part comes again after
        `upstream_call::resume`. */
    virtual bool on_body(std::span<const char> bytes) = 0;

    /** The last event. */
    virtual void on_done(const attempt_result& it) = 0;
};

/** An attempt in progress. Safe from any thread. @see upstream_client::start */
class upstream_call {
public:
    upstream_call() = default;
    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;
    virtual ~upstream_call() = default;

    /** Continues after a refused `on_body`. */
    virtual void resume() = 0;

    /** Ends the attempt and closes its connection; `on_done` still comes. */
    virtual void cancel() = 0;
};

/** Sends requests to upstreams over HTTP/1.1 with libcurl; keeps connections.

    Each event loop has its own connections. An attempt that is started on one of the client's loops stays on
    it; others go to a loop that is chosen by the upstream's name. It must not be destroyed on one of its
   loops.
    @see upstream_observer, make_upstream_client
*/
class upstream_client {
public:
    struct options {
        unsigned threads{2};               ///< Threads, unless `loops` is set.
        std::shared_ptr<loop_group> loops; ///< Threads shared with a server; may be null.
        /** Most connections to one upstream, divided evenly among the loops; further requests wait. 14 is
           what 250 connections of a worker allow to each of 17 nodes. */
        unsigned connections_per_upstream{14};
        millis connect_timeout{500}; ///< Time to connect.
        /** A connection idle for longer is not reused for non-idempotent work. libcurl counts whole seconds,
            so it is rounded down to them and is at least 2 s. */
        millis reuse_within{2000};
    };

    upstream_client() = default;
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;
    virtual ~upstream_client() = default;

    /** Starts an attempt; the client keeps `observer` until `on_done` has returned. */
    virtual std::shared_ptr<upstream_call> start(upstream_request request,
                                                 std::shared_ptr<upstream_observer> observer) = 0;
};

/** Starts the client's threads. Destruction cancels what is left. */
std::unique_ptr<upstream_client> make_upstream_client(const upstream_client::options& it);

} // namespace berylcrank
