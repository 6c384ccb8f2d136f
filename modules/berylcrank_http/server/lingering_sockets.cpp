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
    for (const auto& [number, it] : sockets_) {
        close(it.socket);
    }
}

void lingering_sockets::add(int socket, std::uint64_t number) {
    const lock_guard hold(mutex_);
    const int own = sockets_.size() < most ? fcntl(socket, F_DUPFD_CLOEXEC, 0) : -1;
    if (own < 0) {
        LOG_EVERY_N(WARNING, 100) << "refused caller's connection closed at once: "
                                  << (sockets_.size() < most ? "no descriptor" : "too many linger");
        return;
    }
    shutdown(own, SHUT_WR); // the caller sees the end of the response
    epoll_event event{.events = EPOLLIN | EPOLLRDHUP, .data = {.u64 = number}};
    if (epoll_ctl(epoll_, EPOLL_CTL_ADD, own, &event) != 0) {
        PLOG(WARNING) << "refused caller's connection cannot be watched";
        close(own);
        return;
    }
    sockets_.emplace(number,
                     entry{.socket = own, .until = std::chrono::steady_clock::now() + limit.to_chrono()});
}

bool lingering_sockets::discard(std::uint64_t number) {
    std::array<char, 65536> buf{};
    const lock_guard hold(mutex_);
    const auto it = sockets_.find(number);
    if (it == sockets_.end()) {
        return false;
    }
    const auto n = recv(it->second.socket, buf.data(), buf.size(), MSG_DONTWAIT);
    const bool goes_on = n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
    if (!goes_on) {
        close(it->second.socket); // which also takes it out of the epoll set
        sockets_.erase(it);
    }
    return true;
}

void lingering_sockets::close_late() {
    const auto now = std::chrono::steady_clock::now();
    const lock_guard hold(mutex_);
    absl::erase_if(sockets_, [&](const auto& it) {
        if (it.second.until > now) {
            return false;
        }
        close(it.second.socket);
        return true;
    });
}

} // namespace berylcrank
