#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace berylcrank {

/** Writes bytes to a non-blocking socket in order and queues what the socket does not accept yet.

    The `keep` handle of a write keeps the owner alive while the write is pending.
*/
class socket_writer {
public:
    using done_handler = std::function<void(bool ok)>;

    explicit socket_writer(boost::asio::ip::tcp::socket& socket) : socket_(socket) {}

    /** Queues bytes. `done` runs once: with true when the queue is empty, with false when the socket has
        failed. It may run before this call returns. A call replaces the handler of an earlier call that is
        still pending. */
    void write(std::string bytes, const std::shared_ptr<void>& keep, done_handler done);

    /** Drops all queued bytes and their handler. Call this when the socket is closed. */
    void clear();

    /** Number of bytes that the socket has not accepted yet. */
    [[nodiscard]] std::size_t pending() const { return pending_; }

    /** Returns the error that ended writing, if any. A write that fails takes the error from the socket, so
        that a later read reports an orderly end of input. */
    [[nodiscard]] const boost::system::error_code& error() const { return error_; }

private:
    void flush(const std::shared_ptr<void>& keep);
    void fail(const boost::system::error_code& ec);

    boost::asio::ip::tcp::socket& socket_;
    std::deque<std::string> queue_;
    std::size_t front_offset_{0};
    std::size_t pending_{0};
    bool waiting_{false};
    boost::system::error_code error_;
    done_handler done_;
};

} // namespace berylcrank
