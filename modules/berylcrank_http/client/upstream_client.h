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

/** A request to send to one upstream. @see upstream_client */
struct upstream_request {
    std::string upstream; ///< Name of the upstream.
    std::string address;  ///< IP address and port, such as `127.0.0.1:80`.
    std::string method;
    std::string path; ///< Path and query.
    std::vector<http_header> headers;
    std::shared_ptr<const std::string> body; ///< May be null.
    std::string request_id;                  ///< Sent as `Berylcrank-Request-Id`; the response must echo it.
    std::optional<millis> timeout;           ///< Limit for the whole attempt; none for downloads.
    millis stall{10000};   ///< Limit without progress, not counted while `on_body` refuses data.
    bool idempotent{true}; ///< False: never sent twice, not even by libcurl.
};

/** The connection that an attempt uses. @see upstream_observer::may_send */
struct connection_info {
    std::uint16_t local_port{0}; ///< Identifies the connection among those to the same upstream.
    bool is_new{true};           ///< No request has been sent on it before.
};

/** How an attempt ended. @see attempt_result */
enum class attempt_end : std::uint8_t {
    complete,       ///< The complete response was received.
    connect_failed, ///< The connection failed; no byte was sent.
    denied,         ///< `may_send` returned false; no byte was sent.
    shed,           ///< The upstream rejected the request with a 503 `not-run` response.
    reset,          ///< The connection was lost after at least a part of the request was sent.
    timed_out,      ///< `upstream_request::timeout` passed.
    stalled,        ///< `upstream_request::stall` passed without progress.
    truncated,      ///< The response ended before its declared end.
    wrong_id,       ///< The response had no request id, a different one or more than one.
    malformed,      ///< Not an HTTP/1.1 response, or its length is unknown or contradictory.
    cancelled,      ///< `upstream_call::cancel` was called or `on_head` returned false.
};

/** Result of an attempt. @see upstream_observer::on_done */
struct attempt_result {
    attempt_end end{attempt_end::reset};
    run_verdict verdict{run_verdict::may_have_run};
    int status{0};                ///< HTTP status; 0 if no response head was received.
    std::uint64_t body_bytes{0};  ///< Bytes of the body accepted by `on_body`.
    connection_info connection{}; ///< The connection used; `local_port` is 0 if there was none.
    millis duration;              ///< Time from the start of the attempt to its end.
    http_response_head shed_head; ///< Head of a shed response, else empty.
};

/** Receives the events of one attempt on the client thread that runs it. Must not block.

    @see upstream_client
*/
class upstream_observer {
public:
    upstream_observer() = default;
    upstream_observer(const upstream_observer&) = delete;
    upstream_observer& operator=(const upstream_observer&) = delete;
    virtual ~upstream_observer() = default;

    /** Called once connected, immediately before the first byte of the request is sent. Returning false ends
        the attempt with `attempt_end::denied`. Implementations check deadline, cancellation, order state and
        permits here. Called at most once: if libcurl is about to retry the request, the attempt ends with
        `attempt_end::reset`. */
    virtual bool may_send(const connection_info& connection) = 0;

    /** Called with the head of a response that has the correct request id and is not a shed response.
        Returning false cancels the attempt. `content_bytes` is the declared length of the body, if any. */
    virtual bool on_head(const http_response_head& head, std::optional<std::uint64_t> content_bytes) = 0;

    /** Called with a block of the body. Returning false pauses the transfer; the same block is delivered
        again after `upstream_call::resume`. */
    virtual bool on_body(std::span<const char> bytes) = 0;

    /** Called once, as the last event. */
    virtual void on_done(const attempt_result& result) = 0;
};

/** An attempt in progress. Thread-safe. @see upstream_client::start */
class upstream_call {
public:
    upstream_call() = default;
    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;
    virtual ~upstream_call() = default;

    /** Resumes the transfer after `on_body` returned false. */
    virtual void resume() = 0;

    /** Ends the attempt and closes its connection. `on_done` is still called. */
    virtual void cancel() = 0;
};

/** Sends requests to upstreams over HTTP/1.1 with libcurl and reuses connections.

    Each event loop has its own connections. An attempt that is started on one of the client's loops runs on
    that loop; other attempts run on a loop chosen by a hash of the upstream's name. The client must not be
    destroyed on one of its loops.
    @see upstream_observer, make_upstream_client
*/
class upstream_client {
public:
    struct options {
        unsigned threads{2};               ///< Number of threads; ignored if `loops` is set.
        std::shared_ptr<loop_group> loops; ///< Event loops shared with a server; may be null.
        /** Maximum number of connections to one upstream, divided evenly among the loops. Further requests
            wait. The default of 14 shares the 250 connections of a worker among 17 nodes. */
        unsigned connections_per_upstream{14};
        millis connect_timeout{500}; ///< Time limit for connecting.
        /** A connection that has been idle for longer is not reused for non-idempotent requests. libcurl
            counts whole seconds, so this is rounded down to whole seconds and is at least 2 s. */
        millis max_reuse_idle{2000};
    };

    upstream_client() = default;
    upstream_client(const upstream_client&) = delete;
    upstream_client& operator=(const upstream_client&) = delete;
    virtual ~upstream_client() = default;

    /** Starts an attempt. The client keeps `observer` until `on_done` has returned. */
    virtual std::shared_ptr<upstream_call> start(upstream_request request,
                                                 std::shared_ptr<upstream_observer> observer) = 0;
};

/** Creates a client and starts its threads. Destroying the client cancels the attempts in progress. */
std::unique_ptr<upstream_client> make_upstream_client(const upstream_client::options& opts);

} // namespace berylcrank
