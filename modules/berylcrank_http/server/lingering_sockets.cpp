#include "modules/berylcrank_http/server/lingering_sockets.h"

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <glog/logging.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace berylcrank {

lingering_sockets::~lingering_sockets() {
    const lock_guard hold(mutex_);
    for (const auto& [id, lingering] : sockets_) {
        close(lingering.socket);
    }
}

void lingering_sockets::add(int socket, std::uint64_t id) {
    const lock_guard hold(mutex_);
    const int duplicate = sockets_.size() < max_sockets ? fcntl(socket, F_DUPFD_CLOEXEC, 0) : -1;
    if (duplicate < 0) {
        LOG_EVERY_N(WARNING, 100) << "connection of a refused request is closed without lingering: "
                                  << (sockets_.size() < max_sockets ? "no file descriptor available"
                                                                    : "too many lingering sockets");
        return;
    }
    shutdown(duplicate, SHUT_WR); // Marks the end of the response for the caller.
    epoll_event event{.events = EPOLLIN | EPOLLRDHUP, .data = {.u64 = id}};
    if (epoll_ctl(epoll_, EPOLL_CTL_ADD, duplicate, &event) != 0) {
        PLOG(WARNING) << "cannot watch the connection of a refused request";
        close(duplicate);
        return;
    }
    sockets_.emplace(id, entry{.socket = duplicate,
                               .expires_at = std::chrono::steady_clock::now() + max_linger.to_chrono()});
}

bool lingering_sockets::discard_input(std::uint64_t id) {
    std::array<char, 65536> buf{};
    const lock_guard hold(mutex_);
    const auto it = sockets_.find(id);
    if (it == sockets_.end()) {
        return false;
    }
    const auto n = recv(it->second.socket, buf.data(), buf.size(), MSG_DONTWAIT);
    const bool is_open = n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
    if (!is_open) {
        close(it->second.socket); // Also removes it from the epoll set.
        sockets_.erase(it);
    }
    return true;
}

void lingering_sockets::close_expired() {
    const auto now = std::chrono::steady_clock::now();
    const lock_guard hold(mutex_);
    absl::erase_if(sockets_, [&](const auto& item) {
        if (item.second.expires_at > now) {
            return false;
        }
        close(item.second.socket);
        return true;
    });
}

} // namespace berylcrank
