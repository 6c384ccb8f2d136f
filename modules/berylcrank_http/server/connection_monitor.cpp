#include "modules/berylcrank_http/server/connection_monitor.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace berylcrank {

namespace {

constexpr std::uint64_t stop_id = 0;

} // namespace

void connection_monitor::connection::begin_request(const std::shared_ptr<mhd_exchange>& exchange) {
    bool is_disconnected = false;
    {
        const lock_guard hold(mutex_);
        exchange_ = exchange;
        is_disconnected = is_disconnected_;
    }
    if (is_disconnected) {
        exchange->mark_disconnected();
    }
}

void connection_monitor::connection::end_request(bool was_refused) {
    std::shared_ptr<mhd_exchange> ended; // Destroyed after the lock is released.
    const lock_guard hold(mutex_);
    must_linger_ = was_refused;
    ended = std::exchange(exchange_, nullptr);
    idle_since_ = std::chrono::steady_clock::now();
}

void connection_monitor::connection::on_disconnect() {
    std::shared_ptr<mhd_exchange> exchange;
    {
        const lock_guard hold(mutex_);
        is_disconnected_ = true;
        exchange = exchange_;
    }
    if (exchange) {
        exchange->mark_disconnected();
    }
}

connection_monitor::connection_monitor(const options& opts)
    : options_(opts), epoll_(epoll_create1(EPOLL_CLOEXEC)), stop_event_(eventfd(0, EFD_CLOEXEC)),
      lingering_(epoll_) {
    epoll_event event{.events = EPOLLIN, .data = {.u64 = stop_id}};
    epoll_ctl(epoll_, EPOLL_CTL_ADD, stop_event_, &event);
    thread_ = std::thread([this] { run(); });
}

connection_monitor::~connection_monitor() {
    eventfd_write(stop_event_, 1);
    thread_.join();
    close(stop_event_);
    close(epoll_);
}

std::shared_ptr<connection_monitor::connection> connection_monitor::add(int socket) {
    std::shared_ptr<connection> added;
    {
        const lock_guard hold(mutex_);
        added = std::make_shared<connection>(socket, ++last_id_);
        connections_.emplace(added->id(), added);
    }
    epoll_event event{.events = EPOLLRDHUP | EPOLLET, .data = {.u64 = added->id()}};
    epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event);
    return added;
}

void connection_monitor::remove(std::uint64_t id) {
    const lock_guard hold(mutex_);
    if (const auto it = connections_.find(id); it != connections_.end()) {
        auto& removed = *it->second;
        epoll_ctl(epoll_, EPOLL_CTL_DEL, removed.socket_, nullptr);
        if (const lock_guard hold_connection(removed.mutex_); removed.must_linger_) {
            lingering_.add(removed.socket_, id);
        }
        connections_.erase(it);
    }
}

void connection_monitor::disconnect_all() {
    std::vector<std::shared_ptr<connection>> all;
    {
        const lock_guard hold(mutex_);
        for (const auto& [id, monitored] : connections_) {
            all.push_back(monitored);
        }
    }
    for (const auto& monitored : all) {
        monitored->on_disconnect();
    }
}

void connection_monitor::run() {
    std::array<epoll_event, 64> events{};
    const auto check_interval_ms =
        static_cast<int>(std::clamp<std::int64_t>(options_.head_timeout.count() / 8, 10, 1000));
    auto next_check = std::chrono::steady_clock::now();
    for (;;) {
        const int n = epoll_wait(epoll_, events.data(), events.size(), check_interval_ms);
        for (int i = 0; i < n; ++i) {
            if (events[i].data.u64 == stop_id) {
                return;
            }
            const auto id = events[i].data.u64;
            if (const auto found = find(id)) {
                found->on_disconnect();
            } else {
                lingering_.discard_input(id);
            }
        }
        if (const auto now = std::chrono::steady_clock::now(); now >= next_check) {
            close_slow_senders();
            lingering_.close_expired();
            next_check = now + std::chrono::milliseconds(check_interval_ms);
        }
    }
}

void connection_monitor::close_slow_senders() {
    const auto limit = std::chrono::steady_clock::now() - options_.head_timeout.to_chrono();
    // The lock blocks `remove`, so no socket can be closed and its number reused during the loop.
    const lock_guard hold(mutex_);
    for (const auto& [id, monitored] : connections_) {
        const lock_guard hold_connection(monitored->mutex_);
        if (!monitored->exchange_ && monitored->idle_since_ < limit &&
            !std::exchange(monitored->is_disconnected_, true)) {
            too_slow_.fetch_add(1);
            shutdown(monitored->socket_, SHUT_RDWR);
        }
    }
}

std::shared_ptr<connection_monitor::connection> connection_monitor::find(std::uint64_t id) {
    const lock_guard hold(mutex_);
    const auto it = connections_.find(id);
    return it == connections_.end() ? nullptr : it->second;
}

} // namespace berylcrank
