#pragma once

#include "modules/berylcrank_http/message/body_buffer.h"
#include "modules/berylcrank_http/message/http_message.h"

#include <functional>
#include <memory>
#include <optional>

namespace berylcrank {

/** One request of a caller and the means to respond to it. The handler calls exactly one of `respond`,
    `start_response` and `abort`, on any thread.

    @see http_handler, http_server
*/
class http_exchange {
public:
    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    virtual ~http_exchange() = default;

    /** Returns the request, which is valid for the lifetime of the exchange. */
    [[nodiscard]] virtual const http_request& request() const = 0;

    /** Sends a complete response. */
    virtual void respond(http_response response) = 0;

    /** Sends the head and then the bytes pushed into the returned buffer. With `content_bytes` the response
        has that length, otherwise it is chunked. If the buffer fails, the connection is closed without
        completing the response. */
    virtual std::shared_ptr<body_buffer> start_response(http_response_head head,
                                                        std::optional<std::uint64_t> content_bytes) = 0;

    /** Closes the caller's connection without a response. */
    virtual void abort() = 0;

    /** Sets a callback for when the caller's connection ends before the complete response is sent. It is
        called once, on a server thread, or immediately if the connection has already ended. */
    virtual void set_on_disconnect(std::function<void()> callback) = 0;
};

/** Handles the requests of callers.

    @see http_server
*/
class http_handler {
public:
    http_handler() = default;
    http_handler(const http_handler&) = delete;
    http_handler& operator=(const http_handler&) = delete;
    virtual ~http_handler() = default;

    /** Called on a server thread with each complete request. Must not block. */
    virtual void handle(std::shared_ptr<http_exchange> exchange) = 0;
};

} // namespace berylcrank
