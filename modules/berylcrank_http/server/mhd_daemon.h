#pragma once

#include "modules/berylcrank_http/loop/event_loop.h"

#include <atomic>
#include <microhttpd.h>

namespace berylcrank {

/** A libmicrohttpd daemon without a thread of its own, on an event loop.

    @see mhd_server
*/
class mhd_daemon final : public event_handler {
public:
    /** Takes the daemon over and serves it. */
    mhd_daemon(event_loop& loop, MHD_Daemon* daemon);

    /** Stops the daemon; its connections must not be suspended. */
    ~mhd_daemon() override;
    mhd_daemon(const mhd_daemon&) = delete;
    mhd_daemon& operator=(const mhd_daemon&) = delete;

    /** Serves the connections that the kernel has completed, then closes the listening socket. */
    void stop_accepting();

    /** A suspended connection was resumed. From any thread; on the loop's own the daemon runs in the same
       round instead of after the next wait. */
    void note_resumed();

    /** The member whose daemon is running on this thread. */
    static mhd_daemon* running();

    void on_ready(int fd, std::uint32_t events) override;
    std::optional<time_point> do_due(time_point now) override;

private:
    void run();
    void drain_socket();

    event_loop& loop_;
    MHD_Daemon* daemon_;
    int epoll_;
    unsigned number_{0};
    std::atomic<bool> is_due_{true};
    time_point next_{}; ///< When the daemon looks for timeouts.
};

} // namespace berylcrank
