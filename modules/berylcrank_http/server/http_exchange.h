#pragma once

#include "modules/berylcrank_http/message/body_buffer.h"
#include "modules/berylcrank_http/message/http_message.h"

#include <functional>
#include <memory>
#include <optional>

namespace berylcrank {

/** One request of a caller and the place for its answer. Exactly one of `answer`, `start_response` and
   `abort` is called, from any thread.

    @see http_handler, http_server
*/
class http_exchange {
public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    virtual ~http_exchange() = default;

    /** The request; valid for the life of the exchange. */
    [[nodiscard]] virtual const http_request& request() const = 0;

    /** Sends a whole answer. */
    virtual void respond(http_response it) = 0;

    /** Sends the head and then what is pushed into the returned buffer. With `content_bytes` the answer has
       that length, else it is chunked. If the buffer fails, the connection is closed without completing the
       answer. */
    virtual std::shared_ptr<body_buffer> start_response(http_response_head head,
                                                        std::optional<std::uint64_t> content_bytes) = 0;

    /** Closes the caller's connection without an answer. */
    virtual void abort() = 0;

    /** Sets what is called once, from a server thread, if the caller's connection ends before the answer was
        sent completely. Called at once if that has already happened. */
    virtual void set_on_disconnect(std::function<void()> it) = 0;
};

/** Receives the requests of callers.

    @see http_server
*/
class http_handler {
public:
    http_handler() = default;
    http_handler(const http_handler&) = delete;
    http_handler& operator=(const http_handler&) = delete;
    virtual ~http_handler() = default;

    /** Called on a server thread with each whole request; must not block. */
    virtual void handle(std::shared_ptr<http_exchange> it) = 0;
};

} // namespace berylcrank
