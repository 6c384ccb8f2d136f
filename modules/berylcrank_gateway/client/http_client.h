#pragma once

#include "modules/berylcrank_gateway/client/connection_pool.h"

#include <functional>

namespace berylcrank {

/** A request of an http_client. */
struct call_request {
    std::string method{"GET"};
    std::string address; ///< "IP:PORT"
    std::string target;
    header_list headers;
    std::string body;
};

/** Result of a call: a complete response or a failure. */
struct call_result {
    bool has_response{false};
    call_failure failure{call_failure::not_connected}; ///< Valid unless `has_response`.
    bool timed_out{false};                             ///< The failure is a timeout.
    instant connected_at{instant::never()};            ///< When the connection was established.
    response_head head;
    std::string body;
};

/** Asynchronous HTTP client that collects whole responses in memory. Used for calls to the store, health
    probes and calls to other nodes.

    @see connection_pool
*/
class http_client {
public:
    using handler = std::function<void(const call_result&)>;

    /** Interval between checks for expired idle connections, whose timeouts are seconds. */
    static constexpr millis expiry_interval{200};

    /** `max_body` bounds the bytes of a response; larger ones fail as garbled. */
    http_client(boost::asio::io_context& io, const clock& time, std::size_t max_body)
        : time_(time), pool_(io, time), max_body_(max_body) {}

    /** Starts a call. `done` runs once, from the event loop, no later than the first `check_timeouts` after
        `timeout`. */
    void call(const call_request& request, millis timeout, handler done);

    /** Fails the calls whose timeout has passed. Call this periodically. */
    void check_timeouts(instant now);

private:
    class pending_call;

    const clock& time_;
    connection_pool pool_;
    std::size_t max_body_;
    std::vector<std::shared_ptr<pending_call>> pending_;
    instant next_expiry_;
};

/** Serializes a request. Adds a Host header if it is missing, and the Content-Length. */
std::string serialize(const call_request& it);

} // namespace berylcrank
