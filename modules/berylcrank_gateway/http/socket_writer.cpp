#include "modules/berylcrank_gateway/http/socket_writer.h"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace berylcrank {

void socket_writer::write(std::string bytes, const std::shared_ptr<void>& keep, done_handler done) {
    if (error_) {
        done(false);
        return;
    }
    done_ = std::move(done);
    if (!bytes.empty()) {
        pending_ += bytes.size();
        queue_.push_back(std::move(bytes));
    }
    if (!waiting_) {
        flush(keep);
    }
}

void socket_writer::flush(const std::shared_ptr<void>& keep) {
    while (!queue_.empty()) {
        const auto& front = queue_.front();
        boost::system::error_code ec;
        const auto n = socket_.write_some(
            boost::asio::buffer(front.data() + front_offset_, front.size() - front_offset_), ec);
        if (ec == boost::asio::error::would_block || ec == boost::asio::error::try_again) {
            waiting_ = true;
            socket_.async_wait(boost::asio::ip::tcp::socket::wait_write, [this, keep](const auto& error) {
                waiting_ = false;
                if (error) {
                    fail(error);
                } else {
                    flush(keep);
                }
            });
            return;
        }
        if (ec) {
            fail(ec);
            return;
        }
        pending_ -= n;
        front_offset_ += n;
        if (front_offset_ == front.size()) {
            queue_.pop_front();
            front_offset_ = 0;
        }
    }
    // The handler may hold a reference to the owner of this writer, so it is released after its call.
    if (const auto done = std::exchange(done_, nullptr)) {
        done(true);
    }
}

void socket_writer::clear() {
    queue_.clear();
    front_offset_ = 0;
    pending_ = 0;
    done_ = nullptr;
}

void socket_writer::fail(const boost::system::error_code& ec) {
    error_ = ec;
    queue_.clear();
    pending_ = 0;
    if (const auto done = std::exchange(done_, nullptr)) {
        done(false);
    }
}

} // namespace berylcrank
