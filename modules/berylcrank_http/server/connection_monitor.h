#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/millis.h"
#include "modules/berylcrank_http/server/lingering_sockets.h"
#include "modules/berylcrank_http/server/mhd_exchange.h"

#include "absl/container/flat_hash_map.h"

#include <atomic>
#include <chrono>
#include <thread>

namespace berylcrank {

/** Notices callers that leave, and callers that send the head of a request too slowly.

    libmicrohttpd does not look at a suspended connection, and its timeout starts again with every byte. One
    thread waits for the hang-up of all connections by edge-triggered epoll, so a request costs no system call
    here.
    It also reads on from callers that were refused before they had sent all of a request.
    @see mhd_server, lingering_sockets
*/
class connection_monitor {
public:
    struct options {
        millis head_limit{60000}; ///< Longest time from the end of a request to the next whole head.
    };

    /** A connection. @see add */
    class peer {
    public:
        peer(int socket, std::uint64_t id) : socket_(socket), id_(id) {}

        /** A request of this connection begins; ends it at once if the caller has left. */
        void begin(const std::shared_ptr<mhd_exchange>& it);

        /** The request has ended. After a refusal the caller may still send, so that closing has to wait. */
        void end(bool was_refused);

        [[nodiscard]] std::uint64_t id() const { return id_; }

    private:
        friend class connection_monitor;

        void hang_up();

        const int socket_;
        const std::uint64_t id_;
        mutex mutex_;
        std::shared_ptr<mhd_exchange> current_ ABSL_GUARDED_BY(mutex_);
        bool hung_up_ ABSL_GUARDED_BY(mutex_){false};
        bool lingers_ ABSL_GUARDED_BY(mutex_){false};
        std::chrono::steady_clock::time_point idle_since_ ABSL_GUARDED_BY(mutex_){
            std::chrono::steady_clock::now()};
    };

    explicit connection_monitor(const options& it);
    ~connection_monitor();
    connection_monitor(const connection_monitor&) = delete;
    connection_monitor& operator=(const connection_monitor&) = delete;

    /** Watches a connection until `remove`. */
    std::shared_ptr<peer> add(int socket);

    /** Must be called before the socket is closed. A duplicate of it lingers after a refusal. */
    void remove(std::uint64_t id);

    /** Ends the requests of all connections. */
    void hang_up_all();

    /** Number of connections closed because a head came too slowly. */
    [[nodiscard]] std::uint64_t too_slow() const { return too_slow_.load(); }

private:
    void run();
    void close_slow();
    std::shared_ptr<peer> find(std::uint64_t id);

    options options_;
    int epoll_;
    int stop_event_;
    lingering_sockets lingering_;
    std::atomic<std::uint64_t> too_slow_{0};
    mutex mutex_;
    std::uint64_t last_id_ ABSL_GUARDED_BY(mutex_){0};
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<peer>> peers_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_;
};

} // namespace berylcrank
