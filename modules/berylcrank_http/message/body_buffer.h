#pragma once

#include "modules/berylcrank_core/sync/mutex.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace berylcrank {

/** A bounded buffer for the body of one streamed response, between the thread of the upstream client and the
    thread of the server.

    Has one producer and one consumer, which may run on different threads. A full buffer pauses the producer,
    so that a slow caller applies backpressure to the upstream instead of using memory here.
    @see http_exchange, upstream_call
*/
class body_buffer {
public:
    struct options {
        std::size_t capacity_bytes{262144}; ///< Maximum number of bytes held.
    };

    /** `open` until `finish` or `fail` is called. */
    enum class state : std::uint8_t { open, finished, failed };

    explicit body_buffer(options opts) : options_(opts) {}

    /** Appends all of `bytes`, or none if they do not fit; then returns false, and the callback of
        `set_on_space` is called when at most half of the capacity is in use. An empty buffer accepts any
        size. */
    bool push(std::span<const char> bytes);

    /** Marks the end of a complete response. */
    void finish();

    /** Marks the response as truncated. The consumer must not complete it. */
    void fail();

    /** Moves up to `out.size()` bytes to `out` and returns their number, or 0 if the buffer is empty. */
    std::size_t pull(std::span<char> out);

    /** Returns true if the producer has ended and all bytes have been pulled. Sets `end` to the current
        state. */
    bool is_drained(state& end);

    /** Sets a callback for when bytes arrive in an empty buffer or the producer ends. Called without a lock
        held. Set it before use. */
    void set_on_data(std::function<void()> callback);

    /** Sets a callback for when a refused `push` may be retried. Called without a lock held. Set it before
        use. */
    void set_on_space(std::function<void()> callback);

    /** Sets a callback for when the producer ends. Called once, without a lock held. Set it before use. */
    void set_on_end(std::function<void(state)> callback);

private:
    void set_final_state(state final_state);

    options options_;
    mutex mutex_;
    std::string bytes_ ABSL_GUARDED_BY(mutex_);
    std::size_t read_offset_ ABSL_GUARDED_BY(mutex_){0};
    bool is_producer_waiting_ ABSL_GUARDED_BY(mutex_){false};
    state state_ ABSL_GUARDED_BY(mutex_){state::open};
    std::function<void()> on_data_ ABSL_GUARDED_BY(mutex_);
    std::function<void()> on_space_ ABSL_GUARDED_BY(mutex_);
    std::function<void(state)> on_end_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
