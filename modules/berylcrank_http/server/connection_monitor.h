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

/** Detects callers that disconnect and callers that send a request head too slowly.

    libmicrohttpd does not poll a suspended connection, and its timeout restarts with every received byte. One
    thread waits for the disconnect of all connections with edge-triggered epoll, so a request needs no system
    call here. The thread also drains lingering sockets: those of callers that were refused before they had
    sent the whole request.
    @see mhd_server, lingering_sockets
*/
class connection_monitor {
public:
    struct options {
        millis head_timeout{60000}; ///< Limit from the end of a request to the end of the next request head.
    };

    /** A monitored connection. @see add */
    class connection {
    public:
        connection(int socket, std::uint64_t id) : socket_(socket), id_(id) {}

        /** Called when a request begins. Ends it immediately if the caller has already disconnected. */
        void begin_request(const std::shared_ptr<mhd_exchange>& exchange);

        /** Called when the request has ended. After a refusal the caller may still send, so the socket
            lingers when the connection is removed. */
        void end_request(bool was_refused);

        [[nodiscard]] std::uint64_t id() const { return id_; }

    private:
        friend class connection_monitor;

        void on_disconnect();

        const int socket_;
        const std::uint64_t id_;
        mutex mutex_;
        std::shared_ptr<mhd_exchange> exchange_ ABSL_GUARDED_BY(mutex_);
        bool is_disconnected_ ABSL_GUARDED_BY(mutex_){false};
        bool must_linger_ ABSL_GUARDED_BY(mutex_){false};
        std::chrono::steady_clock::time_point idle_since_ ABSL_GUARDED_BY(mutex_){
            std::chrono::steady_clock::now()};
    };

    explicit connection_monitor(const options& opts);
    ~connection_monitor();
    connection_monitor(const connection_monitor&) = delete;
    connection_monitor& operator=(const connection_monitor&) = delete;

    /** Monitors a connection until `remove` is called. */
    std::shared_ptr<connection> add(int socket);

    /** Stops monitoring a connection. Must be called before the socket is closed. After a refusal a duplicate
        of the socket lingers. */
    void remove(std::uint64_t id);

    /** Ends the requests of all connections as if the callers had disconnected. */
    void disconnect_all();

    /** Returns the number of connections closed because a request head was sent too slowly. */
    [[nodiscard]] std::uint64_t too_slow() const { return too_slow_.load(); }

private:
    void run();
    void close_slow_senders();
    std::shared_ptr<connection> find(std::uint64_t id);

    options options_;
    int epoll_;
    int stop_event_;
    lingering_sockets lingering_;
    std::atomic<std::uint64_t> too_slow_{0};
    mutex mutex_;
    std::uint64_t last_id_ ABSL_GUARDED_BY(mutex_){0};
    absl::flat_hash_map<std::uint64_t, std::shared_ptr<connection>> connections_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_;
};

} // namespace berylcrank
