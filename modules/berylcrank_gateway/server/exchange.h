#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_gateway/http/message_head.h"
#include "modules/berylcrank_gateway/memory/memory_charge.h"

#include <functional>
#include <memory>
#include <string>

namespace berylcrank {

class server_connection;

/** A request of a caller and its response. The responses on one connection are sent in the order of the
    requests, independent of the order in which they complete.

    @see server_connection, request_handler
*/
class exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(const std::shared_ptr<server_connection>& connection, request_head request, std::string content,
             std::string caller_address, instant when)
        : head(std::move(request)), body(std::move(content)), caller(std::move(caller_address)),
          received(when), connection_(connection) {}

    const request_head head;
    const std::string body;
    const std::string caller; ///< IP address of the caller.
    const instant received;   ///< Arrival of the last byte of the request.

    /** Called once if the caller disconnects before the response is complete. */
    std::function<void()> on_disconnect;
    /** Called when all unsent bytes have been written to the socket. */
    std::function<void()> on_drained;

    /** Starts the response. Without a length, the body is sent with chunked encoding, or until the connection
        closes for HTTP/1.0. Has no effect if the response has already begun. */
    void begin(int status, std::string_view reason, const header_list& headers,
               std::optional<std::uint64_t> length);
    /** Appends bytes to the body. */
    void append(std::string_view bytes);
    /** Ends the response. */
    void finish();
    /** Sends a complete response. */
    void respond(int status, std::string_view reason, const header_list& headers, std::string_view content);
    /** Aborts the connection, so that the caller detects an incomplete response. */
    void abort();

    /** Keeps the charge for the body and its copies until the response begins. */
    void hold(std::unique_ptr<memory_charge> charge) { charge_ = std::move(charge); }

    [[nodiscard]] bool begun() const { return begun_; }
    [[nodiscard]] bool finished() const { return finished_; }
    [[nodiscard]] bool disconnected() const { return disconnected_; }
    /** Charges bytes of the response that the handler keeps until it appends them. Returns false if memory is
        short; the connection is aborted then. */
    bool keep(std::size_t bytes);

    /** Number of bytes that are not written to the socket yet. */
    [[nodiscard]] std::size_t unsent_bytes() const;
    /** Returns true if an earlier request on the same connection has no complete response yet. */
    [[nodiscard]] bool has_earlier_requests() const;

private:
    friend class server_connection;

    void enqueue(std::string_view bytes);
    /** Bytes that this exchange or its handler keeps and that `charge_` does not contain. */
    [[nodiscard]] std::size_t kept_bytes() const;
    void on_caller_disconnected();

    std::weak_ptr<server_connection> connection_;
    std::unique_ptr<memory_charge> charge_;
    std::string out_;
    std::size_t kept_by_handler_{0};
    bool begun_{false};
    bool chunked_{false};
    bool bodyless_{false};
    bool finished_{false};
    bool disconnected_{false};
    bool close_after_{false};
};

using exchange_ptr = std::shared_ptr<exchange>;

/** Interface to the handler of the requests of a listener. */
class request_handler {
public:
    request_handler() = default;
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;
    virtual ~request_handler() = default;

    /** Handles a request. The response may be sent later. */
    virtual void handle(const exchange_ptr& it) = 0;

    /** Returns true if responses ask the caller to close the connection. */
    [[nodiscard]] virtual bool closing() const { return false; }
};

/** Returns the standard reason phrase of a status code that this module sends, or "Unknown". */
std::string_view reason_phrase(int status);

} // namespace berylcrank
