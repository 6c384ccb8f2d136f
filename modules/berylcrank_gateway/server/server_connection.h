#pragma once

#include "modules/berylcrank_balance/config/deployment_config.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_gateway/http/message_parser.h"
#include "modules/berylcrank_gateway/http/socket_writer.h"
#include "modules/berylcrank_gateway/server/connection_limit.h"
#include "modules/berylcrank_gateway/server/exchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace berylcrank {

/** Context that the connections of a listener share. */
struct listener_context {
    const clock& time;
    request_handler& handler;
    std::function<const ingress_limits&()> limits; ///< Returns the current limits for requests.
    /** Limits the memory for requests of all connections of the node. */
    std::shared_ptr<memory_account> memory = std::make_shared<memory_account>(memory_account::options{});
    std::string retry_after = "Retry-After"; ///< Name of the header with the seconds until a retry.
    /** Limits the connections of all listeners of the node. */
    std::shared_ptr<connection_limit> connections =
        std::make_shared<connection_limit>(connection_limit::options{});
    bool uses_reserve{false}; ///< The listener may use the reserve of `connections`.
};

/** A connection of a caller. Passes pipelined requests to the handler as they arrive, without waiting for the
    responses to earlier ones. Its listener owns it until it is closed, and it notifies its exchanges when it
    closes before their responses are complete.

    The memory for input, bodies and responses is charged to the account of the node before it is allocated.
    If the account is short, a request gets a response with status 503 before it is forwarded, and the
    connection closes; a connection whose caller does not read its responses is aborted.

    When the handler is closing, no further request is accepted behind those that it processes; the connection
    closes behind their last response.

    @see exchange, http_listener
*/
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    /** Maximum number of requests without a complete response. Further ones are kept unparsed. */
    static constexpr std::size_t max_pipeline = 32;
    /** Bytes of unparsed requests at which reading pauses. Reading goes on until then, because only a read
        notices that the caller has closed the connection. */
    static constexpr std::size_t max_unparsed = 65536;
    /** Time for which input is discarded after the last response. Closing a socket with unread input resets
        the connection, and the caller then loses the end of the response. */
    static constexpr millis linger_time{1000};

    server_connection(boost::asio::ip::tcp::socket socket, listener_context& context);
    ~server_connection();
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;

    /** Starts reading requests. */
    void start();

    /** Sends the output that is ready, in the order of the requests. */
    void flush();

    /** Closes the connection immediately and notifies its pending exchanges. */
    void abort();

    /** Responds with status 503 to the request that is being received and closes the connection without
        waiting for the caller. */
    void refuse_and_close();

    /** Closes the connection, or responds with status 408, if a timeout of ingress_limits has passed. With
        `close_idle`, also closes a connection that is idle. Call this periodically. */
    void check_timeouts(instant now, bool close_idle);

    [[nodiscard]] bool open() const { return open_; }
    /** Returns true if no request is being read or processed and no output is pending. */
    [[nodiscard]] bool idle() const {
        return pipeline_.empty() && !reading_message_ && writer_.pending() == 0;
    }
    /** Returns true if a request is being read and no other one is processed. */
    [[nodiscard]] bool input_incomplete() const { return reading_message_ && pipeline_.empty(); }
    /** When bytes were last received or sent. */
    [[nodiscard]] instant last_activity() const { return last_activity_; }
    /** Returns true if responses ask the caller to close the connection. */
    [[nodiscard]] bool closing() const { return context_.handler.closing(); }
    /** Charges the responses that wait for the caller and `more` bytes to be added to them. Aborts the
        connection and returns false if memory is short. */
    bool charge_output(std::size_t more);

    /** Number of bytes that the socket has not accepted yet. */
    [[nodiscard]] std::size_t pending() const { return writer_.pending(); }
    [[nodiscard]] bool is_first(const exchange& it) const {
        return !pipeline_.empty() && pipeline_.front().get() == &it;
    }
    [[nodiscard]] bool is_last(const exchange& it) const {
        return !pipeline_.empty() && pipeline_.back().get() == &it;
    }
    /** Number of requests without a complete response. */
    [[nodiscard]] std::size_t active() const { return pipeline_.size(); }

    /** Sets whether a close resets the connection, also that at the end of the process. It does while a
        response without a length is incomplete: an orderly close would mark the end of its body. */
    void set_reset_on_close(bool resets);

    /** Discards all further requests, because a response has announced that the connection closes. */
    void discard_further_requests() { no_more_requests_ = true; }

private:
    void wait_for_bytes();
    void read_bytes();
    void consume(std::string_view bytes);
    bool feed(std::string_view& bytes);
    void reject(int status);
    void request_complete();
    bool charge_input(std::size_t parser_bytes, std::size_t unparsed_bytes);
    void keep_unparsed(std::string_view bytes);
    void shed_input();
    [[nodiscard]] std::size_t output_bytes() const;
    void shed_output();
    void note_output_progress(instant now);
    void on_end_of_input();
    std::pair<std::string, bool> take_ready_output();
    void discard_input();
    void on_written(bool ok, bool last);
    void close_gracefully();

    boost::asio::ip::tcp::socket socket_;
    listener_context& context_;
    std::shared_ptr<connection_limit>
        limit_; // used after context_ if the event loop destroys the connection last
    socket_writer writer_;
    std::string caller_; // IP address
    std::unique_ptr<request_parser> parser_;
    std::deque<exchange_ptr> pipeline_;
    std::string unparsed_;        // bytes that arrived while the pipeline was full
    memory_charge input_charge_;  // for parser_ and unparsed_
    memory_charge output_charge_; // for responses, in the pipeline and in the writer
    instant last_activity_;
    std::size_t last_pending_{0}; // at the last check of the timeouts
    bool open_{true};
    bool waiting_{false};
    bool reading_message_{false};
    bool no_more_requests_{false};
    bool shut_down_{false};
    bool last_response_queued_{false};
    bool resets_on_close_{false};
};

} // namespace berylcrank
