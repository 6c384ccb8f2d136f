#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_gateway/http/message_parser.h"
#include "modules/berylcrank_gateway/http/socket_writer.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace berylcrank {

/** Why a call on a connection ended without a whole response. */
enum class call_failure : std::uint8_t {
    not_connected, ///< No byte of the request left this node.
    no_response,   ///< The connection ended before a response began; the request may have run.
    broken_off,    ///< The connection ended within the response.
    garbled,       ///< What arrived is not a response.
};

/** Text of a call_failure for logs. */
std::string_view to_string(call_failure it);

/** What receives the response of a call. Callbacks come from the event loop, never from within `call`. */
class response_sink {
public:
    response_sink() = default;
    response_sink(const response_sink&) = delete;
    response_sink& operator=(const response_sink&) = delete;
    virtual ~response_sink() = default;

    /** The head arrived. Returns false to discard this response and wait for the next one. */
    virtual bool on_head(const response_head& head) = 0;
    /** Bytes of the body. */
    virtual void on_body(std::string_view bytes) = 0;
    /** The response is whole. `reusable`: the connection can take another call. */
    virtual void on_done(bool reusable) = 0;
    /** There will be no whole response; the connection is closed. */
    virtual void on_failed(call_failure why) = 0;
};

/** An outgoing HTTP/1.1 connection that carries one call at a time.

    @see response_sink, connection_pool
*/
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    /** Time after which unacknowledged bytes end the connection (TCP_USER_TIMEOUT). */
    static constexpr millis unacknowledged_limit{2500};

    client_connection(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address, const clock& time)
        : socket_(io), address_(std::move(address)), time_(time), writer_(socket_) {}

    /** Sends a serialized request and reports to `sink`, which must stay alive or be detached by `cancel`.
       Connects first if necessary. `no_body`: the response to this method has no body. */
    void call(std::string request, response_sink& sink, bool no_body = false);

    /** Detaches the sink and closes the connection; the upstream sees that the caller left. */
    void cancel();

    /** Stops or resumes reading, so that an upstream waits for a slow caller. */
    void pause_reading(bool pause);

    /** Whether it waits for a call and has not been closed by the other side. */
    [[nodiscard]] bool idle() const { return connected_ && sink_ == nullptr && !closed_; }
    [[nodiscard]] bool closed() const { return closed_; }
    [[nodiscard]] bool connected() const { return connected_; }
    /** The error that ended it, for logs; empty if none did. */
    [[nodiscard]] const std::string& error() const { return error_; }
    /** When it became idle. */
    [[nodiscard]] instant idle_since() const { return idle_since_; }
    /** Time for which the other side keeps an idle connection, as its last response said; 0 if it did not. */
    [[nodiscard]] millis keep_alive() const { return keep_alive_; }

private:
    void connect();
    void send();
    void wait_for_bytes();
    void read_bytes();
    void consume(std::string_view bytes);
    bool pass_on();
    void response_complete(bool bytes_left);
    void fail(call_failure why);
    void end_of_input(bool clean);
    void close();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::ip::tcp::endpoint address_;
    const clock& time_;
    socket_writer writer_;
    std::unique_ptr<response_parser> parser_;
    response_sink* sink_{nullptr};
    std::string request_;
    std::string error_;
    instant idle_since_;
    millis keep_alive_;
    bool connected_{false};
    bool closed_{false};
    bool waiting_{false};
    bool paused_{false};
    bool no_body_{false};
    bool head_passed_{false};
    bool discarding_{false};
    bool discarded_any_{false};
    bool sent_{false};
};

using client_connection_ptr = std::shared_ptr<client_connection>;

} // namespace berylcrank
