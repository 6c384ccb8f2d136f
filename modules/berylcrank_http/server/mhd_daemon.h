#pragma once

#include "modules/berylcrank_http/loop/event_loop.h"

#include <atomic>
#include <microhttpd.h>

namespace berylcrank {

/** Runs a libmicrohttpd daemon without its own thread on an event loop.

    @see mhd_server
*/
class mhd_daemon final : public event_handler {
public:
    /** Takes ownership of the daemon and starts to run it. */
    mhd_daemon(event_loop& loop, MHD_Daemon* daemon);

    /** Stops the daemon. None of its connections may be suspended. */
    ~mhd_daemon() override;
    mhd_daemon(const mhd_daemon&) = delete;
    mhd_daemon& operator=(const mhd_daemon&) = delete;

    /** Accepts the connections in the accept queue, then closes the listening socket. */
    void stop_accepting();

    /** Makes the daemon process a resumed connection. Thread-safe. On the loop's own thread the daemon runs
        before the loop waits again. */
    void on_connection_resumed();

    /** Returns the daemon that is running on the calling thread, or null if there is none. */
    static mhd_daemon* running();

    void on_ready(int fd, std::uint32_t events) override;
    std::optional<time_point> process_due(time_point now) override;

private:
    void run();
    void drain_listen_queue();

    event_loop& loop_;
    MHD_Daemon* daemon_;
    int epoll_;
    unsigned handler_id_{0};
    std::atomic<bool> is_due_{true};
    time_point next_timeout_{}; ///< When the daemon must run next to check its timeouts.
};

} // namespace berylcrank
