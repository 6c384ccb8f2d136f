#include "modules/berylcrank_http/server/mhd_daemon.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace berylcrank {

namespace {

thread_local mhd_daemon* running_daemon = nullptr;

} // namespace

mhd_daemon::mhd_daemon(event_loop& loop, MHD_Daemon* daemon)
    : loop_(loop), daemon_(daemon), epoll_(MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd) {
    loop_.call([this] {
        handler_id_ = loop_.add(*this);
        loop_.watch(handler_id_, epoll_, EPOLLIN);
    });
}

mhd_daemon::~mhd_daemon() {
    loop_.call([this] {
        run(); // Processes the connections that were resumed.
        loop_.unwatch(epoll_);
        loop_.remove(handler_id_);
        MHD_stop_daemon(daemon_);
    });
}

void mhd_daemon::stop_accepting() {
    loop_.call([this] { drain_listen_queue(); });
}

void mhd_daemon::drain_listen_queue() {
    const int socket = MHD_quiesce_daemon(daemon_);
    if (socket == MHD_INVALID_SOCKET) {
        return;
    }
    // Closing the socket would reset connections in its accept queue.
    running_daemon = this;
    for (;;) {
        sockaddr_storage from{};
        socklen_t n = sizeof(from);
        const int fd = accept4(socket, reinterpret_cast<sockaddr*>(&from), &n, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            break;
        }
        MHD_add_connection(daemon_, fd, reinterpret_cast<sockaddr*>(&from), n);
    }
    close(socket);
    running_daemon = nullptr;
    is_due_.store(true);
}

void mhd_daemon::on_connection_resumed() {
    is_due_.store(true);
    loop_.wake();
}

mhd_daemon* mhd_daemon::running() {
    return running_daemon;
}

void mhd_daemon::on_ready(int /*fd*/, std::uint32_t /*events*/) {
    is_due_.store(true);
}

std::optional<event_handler::time_point> mhd_daemon::process_due(time_point now) {
    if (is_due_.exchange(false) || now >= next_timeout_) {
        run();
        MHD_UNSIGNED_LONG_LONG wait_ms = 0;
        next_timeout_ = MHD_get_timeout(daemon_, &wait_ms) == MHD_YES
                            ? now + std::chrono::milliseconds(wait_ms)
                            : time_point::max();
    }
    return next_timeout_ == time_point::max() ? std::nullopt : std::optional(next_timeout_);
}

void mhd_daemon::run() {
    running_daemon = this;
    MHD_run(daemon_);
    running_daemon = nullptr;
}

} // namespace berylcrank
