#pragma once

#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_gateway/http/message_parser.h"
#include "modules/berylcrank_gateway/http/socket_writer.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace berylcrank {

/** Why a call ended without a complete response. */
enum class call_failure : std::uint8_t {
    not_connected, ///< The connection was not established; no byte of the request was sent.
    no_response,   ///< The connection ended before a response began; the request may have run.
    broken_off,    ///< The connection ended in the middle of the response.
    garbled,       ///< The input is not a valid HTTP response, or is too large.
};

/** Returns the text of a call_failure for logs. */
std::string_view to_string(call_failure it);

/** What a response_sink does with a response. */
enum class head_action : std::uint8_t {
    accept,  ///< Receives the body.
    discard, ///< Ignores the response and waits for the next one on the connection.
    reject,  ///< Fails the call as garbled.
};

/** Interface to the receiver of a response. Callbacks run from the event loop, never during `call`. */
class response_sink {
public:
    response_sink() = default;
    response_sink(const response_sink&) = delete;
    response_sink& operator=(const response_sink&) = delete;
    virtual ~response_sink() = default;

    /** Called with the head of the response. */
    virtual head_action on_head(const response_head& head) = 0;
    /** Called with bytes of the body. */
    virtual void on_body(std::string_view bytes) = 0;
    /** Called when the response is complete. With `reusable`, the connection accepts another call. */
    virtual void on_done(bool reusable) = 0;
    /** Called if the call fails. The connection is closed. */
    virtual void on_failed(call_failure reason) = 0;
};

/** An outgoing HTTP/1.1 connection that carries one call at a time.

    @see response_sink, connection_pool
*/
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    /** Time after which unacknowledged bytes close the connection (TCP_USER_TIMEOUT). */
    static constexpr millis unacknowledged_timeout{2500};
    /** Upper bound of the idle timeout that a server can state. */
    static constexpr millis max_keep_alive{3600000};
    /** Interim responses of one call, above which the call fails as garbled. Upstreams send one or two. */
    static constexpr int max_interim_responses = 32;
    /** Bytes of the interim responses of one call, above which the call fails as garbled. */
    static constexpr std::size_t max_interim_bytes = 131072;

    client_connection(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address, const clock& time)
        : socket_(io), address_(std::move(address)), time_(time), writer_(socket_) {}

    /** Sends a serialized request and reports its response to `sink`, which must stay alive until the call
        ends or `cancel` detaches it. Connects first if necessary. `no_body`: the response has no body, as for
        HEAD. */
    void call(std::string request, response_sink& sink, bool no_body = false);

    /** Detaches the sink and closes the connection. */
    void cancel();

    /** Pauses reading the response of the current call, which applies backpressure to the upstream of a slow
        caller. The pause ends with the call, or when the returned handler runs; after the call, the handler
        has no effect. */
    [[nodiscard]] std::function<void()> pause_reading();

    /** Returns true if the connection is open and carries no call. */
    [[nodiscard]] bool idle() const { return connected_ && !call_ && !closed_; }
    [[nodiscard]] bool closed() const { return closed_; }
    [[nodiscard]] bool connected() const { return connected_; }
    /** Returns true if the connection has carried an earlier call. */
    [[nodiscard]] bool reused() const { return calls_ > 1; }
    /** Returns what the connection waits for, as text for logs. */
    [[nodiscard]] std::string_view activity() const;
    /** Returns true if the server ended the connection, and not this process or a timeout. */
    [[nodiscard]] bool closed_by_server() const { return closed_by_server_; }
    /** Text of the error that ended the connection, for logs; empty if there was none. */
    [[nodiscard]] const std::string& error() const { return error_; }
    /** When the connection was established; instant::never() before. */
    [[nodiscard]] instant connected_at() const { return connected_at_; }
    /** When the last response ended. */
    [[nodiscard]] instant idle_since() const { return idle_since_; }
    /** Idle timeout that the server stated in the Keep-Alive header of its last response, at most
        `max_keep_alive`; 0 if it stated none. */
    [[nodiscard]] millis keep_alive() const { return keep_alive_; }

private:
    /** State of the call in progress. A later call on the connection starts with a new one. */
    struct call_state {
        response_sink* sink;
        std::uint64_t number;
        bool no_body{false};
        bool paused{false};
        bool head_delivered{false};
        int interim_responses{0};
        std::size_t interim_bytes{0};
    };

    void connect();
    void send();
    void resume_reading(std::uint64_t call_number);
    [[nodiscard]] bool paused() const { return call_ && call_->paused; }
    void wait_for_bytes();
    void read_bytes();
    void consume(std::string_view bytes);
    bool notify_sink();
    /** Counts the interim response in `parser_`. Returns false if the call has had more than allowed. */
    bool count_interim_response();
    void response_complete(bool bytes_left);
    void fail(call_failure reason);
    /** `clean` states that the server has closed the connection and not reset it. */
    void on_end_of_input(bool clean);
    void close();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::ip::tcp::endpoint address_;
    const clock& time_;
    socket_writer writer_;
    std::unique_ptr<response_parser> parser_;
    std::size_t head_bytes_{0}; // parsed of the response in `parser_` until its head was complete
    std::optional<call_state> call_;
    std::string request_;
    std::string error_;
    instant connected_at_{instant::never()};
    instant idle_since_;
    millis keep_alive_;
    std::uint64_t calls_{0};
    bool connected_{false};
    bool closed_{false};
    bool closed_by_server_{false};
    bool waiting_{false};
    bool discarding_{false};
    bool discarded_any_{false};
};

using client_connection_ptr = std::shared_ptr<client_connection>;

} // namespace berylcrank
