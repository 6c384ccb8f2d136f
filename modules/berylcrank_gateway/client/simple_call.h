#pragma once

#include "modules/berylcrank_gateway/client/connection_pool.h"

#include <functional>

namespace berylcrank {

/** A small request whose whole response is collected. */
struct call_request {
    std::string method{"GET"};
    std::string address; ///< "IP:PORT"
    std::string target;
    header_list headers;
    std::string body;
};

/** How a simple call ended: a whole response, or a failure. */
struct call_result {
    bool answered{false};
    call_failure failure{call_failure::not_connected}; ///< If not answered.
    bool timed_out{false};
    response_head head;
    std::string body;
};

/** Makes small calls with a time limit each: to the store, to health checks, to other nodes.

    @see connection_pool
*/
class simple_caller {
public:
    using handler = std::function<void(const call_result&)>;

    /** Between checks of the idle connections, which are kept for seconds. */
    static constexpr millis expiry_interval{200};

    /** `max_body` bounds the bytes of a response; larger ones fail as garbled. */
    simple_caller(boost::asio::io_context& io, const clock& time, std::size_t max_body)
        : time_(time), pool_(io, time), max_body_(max_body) {}

    /** Makes a call; `done` runs once, from the event loop, at the latest soon after `limit`. */
    void call(const call_request& request, millis limit, handler done);

    /** Ends calls that have run out of time. Called regularly. */
    void check_time(instant now);

private:
    class pending;

    const clock& time_;
    connection_pool pool_;
    std::size_t max_body_;
    std::vector<std::shared_ptr<pending>> pending_;
    instant next_expiry_;
};

/** A serialized request with a Host header and the length of its body. */
std::string serialize(const call_request& it);

} // namespace berylcrank
