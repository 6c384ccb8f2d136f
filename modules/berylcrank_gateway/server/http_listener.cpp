#include "modules/berylcrank_gateway/server/http_listener.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <stdexcept>

namespace berylcrank {

namespace {

constexpr int accept_backlog = 512; // connections that can wait to be accepted in a burst

} // namespace

boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    int port = 0;
    if (colon == std::string::npos || !absl::SimpleAtoi(address.substr(colon + 1), &port) || port < 0 ||
        port > 65535) {
        throw std::invalid_argument("not an IP:PORT address: " + address);
    }
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), ec);
    if (ec) {
        throw std::invalid_argument("not an IP:PORT address: " + address);
    }
    return {ip, static_cast<std::uint16_t>(port)};
}

http_listener::http_listener(boost::asio::io_context& io, const std::string& address,
                             listener_context context)
    : context_(std::move(context)), acceptor_(io) {
    const auto endpoint = parse_endpoint(address);
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(accept_backlog);
    acceptor_.non_blocking(true);
    wait_for_connection();
}

// Takes one connection per event, so that room is made only for a connection that exists.
void http_listener::wait_for_connection() {
    acceptor_.async_wait(boost::asio::ip::tcp::acceptor::wait_read, [this](const auto& ec) {
        if (ec || !acceptor_.is_open()) {
            return;
        }
        accept_waits_ = !accept_one();
        if (!accept_waits_) {
            wait_for_connection();
        }
    });
}

// Returns false if there is no room or no descriptor for the connection.
bool http_listener::accept_one() {
    if (!context_.connections->make_room(context_.uses_reserve, context_.time.now())) {
        return false;
    }
    boost::asio::ip::tcp::socket socket(acceptor_.get_executor());
    boost::system::error_code ec;
    acceptor_.accept(socket, ec);
    if (!ec) {
        add_connection(std::move(socket));
    }
    return ec != boost::asio::error::no_descriptors &&
           ec != boost::system::errc::too_many_files_open_in_system;
}

void http_listener::retry_accept() {
    if (accept_waits_ && acceptor_.is_open()) {
        accept_waits_ = false;
        wait_for_connection();
    }
}

void http_listener::check_timeouts(instant now, bool close_idle) {
    for (std::size_t i = 0; i < connections_.size(); ++i) {
        const auto it = connections_[i];
        it->check_timeouts(now, close_idle);
    }
    std::erase_if(connections_, [](const auto& it) { return !it->open(); });
}

void http_listener::stop_accepting() {
    boost::system::error_code ec;
    acceptor_.cancel(ec);
    // Closing resets the connections that wait to be accepted.
    while (acceptor_.is_open() && !ec &&
           context_.connections->make_room(context_.uses_reserve, context_.time.now())) {
        boost::asio::ip::tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, ec);
        if (!ec) {
            add_connection(std::move(socket));
        }
    }
    acceptor_.close(ec);
}

void http_listener::add_connection(boost::asio::ip::tcp::socket socket) {
    const auto it = std::make_shared<server_connection>(std::move(socket), context_);
    connections_.push_back(it);
    it->start();
}

std::size_t http_listener::active() const {
    std::size_t n = 0;
    for (const auto& it : connections_) {
        n += it->open() ? it->active() : 0;
    }
    return n;
}

std::size_t http_listener::connections() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(connections_, [](const auto& it) { return it->open(); }));
}

} // namespace berylcrank
