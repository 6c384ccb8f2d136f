#pragma once

#include "modules/berylcrank_gateway/http/message_parser.h"
#include "modules/berylcrank_gateway/http/socket_writer.h"
#include "standins/platform_worker/worker_behaviour.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace berylcrank::standin {

/** A worker of the platform. It runs requests in slots, sheds them when its queue is full and injects faults.

    - `POST
   /control?mode=M&work=MS&slowness=N&warm-up=MS&bytes=N&leaving=1&retry-after=S&crash=TARGET&hang=TARGET&pieces=N&pause=MS&status=N&cut=N`:
   changes its behaviour.
    - `GET /received-in-pause`: number of requests received, health checks included, between half a second
   after the first response with `Retry-After` and the end of the time that it stated.
    - `GET /received-headers`: method, target and header of each of the last 256 requests received, health
   checks included; each ends with an empty line.
    - `GET /peak`: largest number of requests, without health checks, that arrived within a second since the
   last change of the warm-up time. Refused requests count.
    - `GET /runs`: lists `id count` for each request that it has started.
    - `GET /healthz`: the health check.
*/
class worker {
public:
    worker(boost::asio::io_context& io, worker_behaviour behaviour, std::uint16_t port = 0);

    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    struct connection;
    using connection_ptr = std::shared_ptr<connection>;
    struct job {
        connection_ptr from;
        request_head head;
    };

    void accept_next();
    void read(const connection_ptr& it);
    /** Responds to a request for what the worker has counted or received. Returns whether it was one. */
    bool report(const connection_ptr& it, const request_head& head);
    void handle_request(const connection_ptr& it, request_head head);
    void answer_health_check(const connection_ptr& it, const request_head& head);
    void start_next();
    void run(const job& it);
    void finish(const job& it);
    void send(const connection_ptr& it, const std::string& bytes, bool close = false);
    /** Responds to a request whose body is still being received, and resets the connection. */
    void reset_early(const connection_ptr& it);
    void send_endlessly(const connection_ptr& it, const std::string& start, const std::string& repeated);
    void finish_endlessly(const job& it);
    void finish_successfully(const job& it, const std::string& signature, const std::string& body);
    void send_pieces(const connection_ptr& it, const std::string& start, const std::string& body);
    void shed(const connection_ptr& it, const request_head& head);
    bool sheds_again(const connection_ptr& it, const request_head& head);
    void send_slowly(const connection_ptr& it, const std::string& start);
    [[nodiscard]] std::string run_list() const;
    [[nodiscard]] std::string received_list() const;
    void record_received(const request_head& head);
    void count_in_pause();
    void count_arrival();
    void update_behaviour(const std::string& target);
    [[nodiscard]] std::string response(const request_head& head, int status, const std::string& more,
                                       const std::string& body) const;
    [[nodiscard]] std::string load() const;

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    worker_behaviour behaviour_;
    std::deque<job> waiting_;
    int running_{0};
    std::map<std::string, int> runs_;
    int received_in_pause_{0};
    std::deque<std::string> received_;                           // newest last
    std::deque<std::chrono::steady_clock::time_point> arrivals_; // of the last second
    std::size_t peak_{0};
    std::chrono::steady_clock::time_point pause_from_;
    std::chrono::steady_clock::time_point pause_until_;
};

} // namespace berylcrank::standin
