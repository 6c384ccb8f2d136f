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

void connection_monitor::peer::begin(const std::shared_ptr<mhd_exchange>& it) {
    bool left = false;
    {
        const lock_guard hold(mutex_);
        current_ = it;
        left = hung_up_;
    }
    if (left) {
        it->mark_gone();
    }
}

void connection_monitor::peer::end(bool was_refused) {
    std::shared_ptr<mhd_exchange> dropped; // Destroyed without the lock held.
    const lock_guard hold(mutex_);
    lingers_ = was_refused;
    dropped = std::exchange(current_, nullptr);
    idle_since_ = std::chrono::steady_clock::now();
}

void connection_monitor::peer::hang_up() {
    std::shared_ptr<mhd_exchange> it;
    {
        const lock_guard hold(mutex_);
        hung_up_ = true;
        it = current_;
    }
    if (it) {
        it->mark_gone();
    }
}

connection_monitor::connection_monitor(const options& it)
    : options_(it), epoll_(epoll_create1(EPOLL_CLOEXEC)), stop_event_(eventfd(0, EFD_CLOEXEC)),
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

std::shared_ptr<connection_monitor::peer> connection_monitor::add(int socket) {
    std::shared_ptr<peer> it;
    {
        const lock_guard hold(mutex_);
        it = std::make_shared<peer>(socket, ++last_id_);
        peers_.emplace(it->id(), it);
    }
    epoll_event event{.events = EPOLLRDHUP | EPOLLET, .data = {.u64 = it->id()}};
    epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event);
    return it;
}

void connection_monitor::remove(std::uint64_t id) {
    const lock_guard hold(mutex_);
    if (const auto it = peers_.find(id); it != peers_.end()) {
        auto& leaving = *it->second;
        epoll_ctl(epoll_, EPOLL_CTL_DEL, leaving.socket_, nullptr);
        if (const lock_guard hold_peer(leaving.mutex_); leaving.lingers_) {
            lingering_.add(leaving.socket_, id);
        }
        peers_.erase(it);
    }
}

void connection_monitor::hang_up_all() {
    std::vector<std::shared_ptr<peer>> all;
    {
        const lock_guard hold(mutex_);
        for (const auto& [id, it] : peers_) {
            all.push_back(it);
        }
    }
    for (const auto& it : all) {
        it->hang_up();
    }
}

void connection_monitor::run() {
    std::array<epoll_event, 64> events{};
    const auto step = static_cast<int>(std::clamp<std::int64_t>(options_.head_limit.count() / 8, 10, 1000));
    auto next_check = std::chrono::steady_clock::now();
    for (;;) {
        const int n = epoll_wait(epoll_, events.data(), events.size(), step);
        for (int i = 0; i < n; ++i) {
            if (events[i].data.u64 == stop_id) {
                return;
            }
            const auto id = events[i].data.u64;
            if (const auto it = find(id)) {
                it->hang_up();
            } else {
                lingering_.discard(id);
            }
        }
        if (const auto now = std::chrono::steady_clock::now(); now >= next_check) {
            close_slow();
            lingering_.close_late();
            next_check = now + std::chrono::milliseconds(step);
        }
    }
}

void connection_monitor::close_slow() {
    const auto limit = std::chrono::steady_clock::now() - options_.head_limit.to_chrono();
    // The lock keeps `remove` waiting, so no socket number is closed and used again meanwhile.
    const lock_guard hold(mutex_);
    for (const auto& [id, it] : peers_) {
        const lock_guard hold_peer(it->mutex_);
        if (!it->current_ && it->idle_since_ < limit && !std::exchange(it->hung_up_, true)) {
            too_slow_.fetch_add(1);
            shutdown(it->socket_, SHUT_RDWR);
        }
    }
}

std::shared_ptr<connection_monitor::peer> connection_monitor::find(std::uint64_t id) {
    const lock_guard hold(mutex_);
    const auto it = peers_.find(id);
    return it == peers_.end() ? nullptr : it->second;
}

} // namespace berylcrank
