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
   the handler, with `Berylcrank-Verdict: not-run`, or
   `may-have-run` if they carry an `Idempotency-Key`, since an earlier copy may have run. Two cases get a bare
   4xx status or a closed connection instead, because libmicrohttpd answers them itself: a request line or
   header that it cannot parse, and a body that is malformed or becomes too large or too slow half way. A
   caller that shuts down its sending side counts as gone.
    @see http_handler, start_http_server
*/
class http_server {
public:
    struct options {
        std::string address{"127.0.0.1:0"}; ///< Address and port to listen on; port 0 lets the kernel choose.
        unsigned threads{2};                ///< Serving threads, unless `loops` is set.
        std::shared_ptr<loop_group> loops;  ///< Threads shared with an upstream client; may be null.
        std::size_t max_body_bytes{1048576}; ///< Largest request body.
        std::size_t max_header_bytes{16384}; ///< Largest header block.
        std::size_t buffer_bytes{262144};    ///< Capacity of a streamed answer's buffer.
        unsigned max_connections{2000};      ///< Connections accepted at once.
        millis idle{30000};                  ///< An idle or slow-sending connection is closed after this.
    };

    /** Totals since the start. @see counted */
    struct counters {
        std::uint64_t requests{0};         ///< Given to the handler.
        std::uint64_t body_too_large{0};   ///< Refused with 413.
        std::uint64_t header_too_large{0}; ///< Refused with 431.
        std::uint64_t malformed{0};        ///< Refused with 400 or another 4xx or 5xx status.
        std::uint64_t too_slow{0};         ///< Not sent completely in time.
        std::uint64_t gone{0};             ///< The caller left before its answer was complete.
    };

    http_server() = default;
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    virtual ~http_server() = default;

    /** The address with the port that is in use. */
    [[nodiscard]] virtual std::string address() const = 0;

    /** Number of requests whose answer is not completely sent. */
    [[nodiscard]] virtual std::size_t open_exchanges() const = 0;

    /** What was served and refused so far. */
    [[nodiscard]] virtual counters counted() const = 0;

    /** Stops accepting connections and closes idle ones after their current answer. Requests in flight
     * finish. */
    virtual void stop_accepting() = 0;
};

/** Starts a server; `handler` must outlive it. It must not be destroyed on one of its own threads. Fails with
 * a `std::string` message if the address cannot be used. */
boost::leaf::result<std::unique_ptr<http_server>> start_http_server(const http_server::options& it,
                                                                    http_handler& handler);

} // namespace berylcrank
