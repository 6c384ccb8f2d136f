#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/millis.h"

#include "absl/container/flat_hash_map.h"

#include <chrono>
#include <cstdint>

namespace berylcrank {

/** Connections that were closed for sending while the caller may still send.

    A socket that is closed with unread bytes resets the connection, and the reset may overtake the response.
   The sockets here are read until the caller has closed too, or has had its time, and what arrives is
   discarded. Thread-safe.
    @see connection_monitor
*/
class lingering_sockets {
public:
    /** Time that a caller has to read its response and close. */
    static constexpr millis limit{2000};
    /** Sockets held at once; one more is closed without lingering. */
    static constexpr std::size_t most = 256;

    /** Adds the sockets to `epoll` as they come. Their events carry the number given to `add`. */
    explicit lingering_sockets(int epoll) : epoll_(epoll) {}
    ~lingering_sockets();
    lingering_sockets(const lingering_sockets&) = delete;
    lingering_sockets& operator=(const lingering_sockets&) = delete;

    /** Takes over a duplicate of `socket`, which its owner is about to close. */
    void add(int socket, std::uint64_t number);

    /** Reads what has arrived; closes the socket at the end of the stream. False if there is no such number.
     */
    bool discard(std::uint64_t number);

    /** Closes the sockets whose time is over. */
    void close_late();

private:
    struct entry {
        int socket;
        std::chrono::steady_clock::time_point until;
    };

    const int epoll_;
    mutex mutex_;
    absl::flat_hash_map<std::uint64_t, entry> sockets_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
