#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace berylcrank {

/** Writes queued bytes to a socket in order, at once as far as the socket takes them.

    The owner outlives pending writes by the `keep` handle that it gives.
*/
class socket_writer {
public:
    using done_handler = std::function<void(bool ok)>;

    explicit socket_writer(boost::asio::ip::tcp::socket& socket) : socket_(socket) {}

    /** Queues bytes. `done` runs once when the queue has become empty, or with false when the socket failed;
       it may run before the call returns. A call whose bytes still wait replaces the handler of the one
       before. */
    void write(std::string bytes, const std::shared_ptr<void>& keep, done_handler done);

    /** Bytes that the socket has not taken yet. */
    [[nodiscard]] std::size_t pending() const { return pending_; }

private:
    void flush(const std::shared_ptr<void>& keep);
    void fail();

    boost::asio::ip::tcp::socket& socket_;
    std::deque<std::string> queue_;
    std::size_t front_offset_{0};
    std::size_t pending_{0};
    bool waiting_{false};
    bool failed_{false};
    done_handler done_;
};

} // namespace berylcrank
