#include "modules/berylcrank_gateway/http/socket_writer.h"

#include <array>
#include <boost/asio/buffer.hpp>

namespace berylcrank {

void socket_writer::write(std::string bytes, const std::shared_ptr<void>& keep, done_handler done) {
    done_ = std::move(done);
    if (failed_) {
        done_(false);
        return;
    }
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
                    fail();
                } else {
                    flush(keep);
                }
            });
            return;
        }
        if (ec) {
            fail();
            return;
        }
        pending_ -= n;
        front_offset_ += n;
        if (front_offset_ == front.size()) {
            queue_.pop_front();
            front_offset_ = 0;
        }
    }
    if (const auto done = done_) {
        done(true);
    }
}

void socket_writer::fail() {
    failed_ = true;
    queue_.clear();
    pending_ = 0;
    if (const auto done = done_) {
        done(false);
    }
}

} // namespace berylcrank
