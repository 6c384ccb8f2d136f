#pragma once

#include "modules/berylcrank_gateway/http/message_parser.h"
#include "modules/berylcrank_gateway/http/socket_writer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace berylcrank::standin {

/** How a worker answers. */
struct worker_behaviour {
    std::string id;
    int slots{4};
    int queue{8};
    int work_ms{10};
    std::size_t body_bytes{100};
    int slowness{100}; ///< The fourth figure of its load; work takes so much longer.
    int warm_up_ms{0}; ///< What its health answers say.
    std::string mode{
        "good"}; ///< good, shed, error, reset, truncate, unframed, unframed-reset, extra, late, mute
};

/** A worker of the platform: runs requests in slots, sheds when its queue is full, and misbehaves as told.

    `POST /control?mode=M&work=MS&slowness=N&warm-up=MS` changes its behaviour, `GET /runs` lists `id count`
   of the requests that it began.
*/
class worker {
public:
    worker(boost::asio::io_context& io, worker_behaviour behaviour);

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
    void take(const connection_ptr& it, request_head head);
    void start_next();
    void run(const job& it);
    void finish(const job& it);
    void send(const connection_ptr& it, const std::string& bytes, bool close = false);
    void change(const std::string& target);
    [[nodiscard]] std::string response(const request_head& head, int status, const std::string& more,
                                       const std::string& body) const;
    [[nodiscard]] std::string load() const;

    boost::asio::io_context& io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    worker_behaviour behaviour_;
    std::deque<job> waiting_;
    int running_{0};
    std::map<std::string, int> runs_;
    std::string late_; // a response held back, sent before the next one
};

} // namespace berylcrank::standin
