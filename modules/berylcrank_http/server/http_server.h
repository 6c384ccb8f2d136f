#pragma once

#include "modules/berylcrank_core/time/millis.h"
#include "modules/berylcrank_http/loop/event_loop.h"
#include "modules/berylcrank_http/server/http_exchange.h"

#include <boost/leaf/result.hpp>
#include <memory>
#include <string>

namespace berylcrank {

/** Serves HTTP/1.1 to callers with libmicrohttpd.

    Requests that are malformed, too large (413, 431) or sent too slowly (408) are refused before they reach
    the handler. The response has `Berylcrank-Verdict: not-run`, or `may-have-run` if the request has an
    `Idempotency-Key`, because an earlier copy may have run. In two cases the caller gets a 4xx status without
    a verdict or a closed connection, because libmicrohttpd handles them itself: a request line or header
    that it cannot parse, and a body that turns out malformed, too large or too slow while it is received. A
    caller that shuts down its sending side counts as disconnected.
    @see http_handler, start_http_server
*/
class http_server {
public:
    struct options {
        std::string address{"127.0.0.1:0"}; ///< Address and port to listen on; port 0 lets the kernel choose.
        unsigned threads{2};                ///< Number of server threads; ignored if `loops` is set.
        std::shared_ptr<loop_group> loops;  ///< Event loops shared with an upstream client; may be null.
        std::size_t max_body_bytes{1048576}; ///< Maximum size of a request body.
        std::size_t max_header_bytes{16384}; ///< Maximum size of a header block.
        std::size_t buffer_bytes{262144};    ///< Capacity of the buffer of a streamed response.
        unsigned max_connections{2000};      ///< Maximum number of open connections.
        millis idle_timeout{30000};          ///< An idle or slowly sending connection is closed after this.
    };

    /** Counts since the start of the server. @see totals */
    struct counters {
        std::uint64_t requests{0};         ///< Passed to the handler.
        std::uint64_t body_too_large{0};   ///< Refused with 413.
        std::uint64_t header_too_large{0}; ///< Refused with 431.
        std::uint64_t malformed{0};        ///< Refused with 400 or another 4xx or 5xx status.
        std::uint64_t too_slow{0};         ///< Not received completely in time.
        std::uint64_t disconnected{0};     ///< The caller disconnected before its response was complete.
    };

    http_server() = default;
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    virtual ~http_server() = default;

    /** Returns the address with the actual port. */
    [[nodiscard]] virtual std::string address() const = 0;

    /** Returns the number of requests whose response is not completely sent. */
    [[nodiscard]] virtual std::size_t open_exchanges() const = 0;

    /** Returns the counts of served and refused requests so far. */
    [[nodiscard]] virtual counters totals() const = 0;

    /** Stops accepting connections. Requests in flight complete, and each open connection is closed after its
        next response. */
    virtual void stop_accepting() = 0;
};

/** Starts a server. `handler` must outlive it. The server must not be destroyed on one of its own threads.
    Fails with a `std::string` message if the address cannot be used. */
boost::leaf::result<std::unique_ptr<http_server>> start_http_server(const http_server::options& opts,
                                                                    http_handler& handler);

} // namespace berylcrank
