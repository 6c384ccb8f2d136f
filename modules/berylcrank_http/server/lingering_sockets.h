#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/millis.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>

namespace berylcrank {

/** Sockets in lingering close: shut down for sending while the caller may still send.

    Closing a socket with unread bytes resets the connection, and the reset can discard the response before
    the caller reads it. This class reads and discards input until the caller closes or the time limit passes.
    Thread-safe.
    @see connection_monitor
*/
class lingering_sockets {
public:
    /** Time limit for the caller to read its response and close. */
    static constexpr millis max_linger{2000};
    /** Maximum number of sockets. Further sockets are closed without lingering. */
    static constexpr std::size_t max_sockets = 256;

    /** Adds each socket to the epoll set `epoll`. Its events carry the id passed to `add`. */
    explicit lingering_sockets(int epoll) : epoll_(epoll) {}
    ~lingering_sockets();
    lingering_sockets(const lingering_sockets&) = delete;
    lingering_sockets& operator=(const lingering_sockets&) = delete;

    /** Keeps a duplicate of `socket`, which its owner is about to close. */
    void add(int socket, std::uint64_t id);

    /** Reads and discards the available input and closes the socket at the end of the stream. Returns false
        if the id is unknown. */
    bool discard_input(std::uint64_t id);

    /** Closes the sockets whose time limit has passed. */
    void close_expired();

private:
    struct entry {
        int socket;
        std::chrono::steady_clock::time_point expires_at;
    };

    const int epoll_;
    mutex mutex_;
    absl::flat_hash_map<std::uint64_t, entry> sockets_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
