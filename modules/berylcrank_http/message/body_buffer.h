#pragma once

#include "modules/berylcrank_core/sync/mutex.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace berylcrank {

/** Bytes of one streamed answer on their way from the upstream thread to the server thread, bounded.

    One producer and one consumer; each on its own thread. A full buffer makes the producer pause, so that a
   slow caller applies backpressure to the upstream instead of using memory here.
    @see http_exchange, upstream_call
*/
class body_buffer {
public:
    struct options {
        std::size_t capacity_bytes{262144}; ///< Largest number of bytes held.
    };

    enum class state : std::uint8_t { open, finished, failed };

    explicit body_buffer(options it) : options_(it) {}

    /** Adds all of `bytes`, or none and returns false if they do not fit; then `on_space` is called once room
        has been made. An empty buffer takes any size. */
    bool push(std::span<const char> bytes);

    /** Marks the end of a whole answer. */
    void finish();

    /** Marks the answer as cut off: the consumer must not complete it. */
    void fail();

    /** Moves up to `out.size()` bytes to `out` and returns their number; 0 if there are none now. */
    std::size_t pull(std::span<char> out);

    /** True if all bytes were pulled and the producer has ended; `end` receives how. */
    bool is_drained(state& end);

    /** Called, without a lock held, after bytes or the end arrive in an empty buffer. Set before use. */
    void set_on_data(std::function<void()> it);

    /** Called, without a lock held, when a refused `push` may be tried again. Set before use. */
    void set_on_space(std::function<void()> it);

    /** Called once, without a lock held, when the producer ends. Set before use. */
    void set_on_end(std::function<void(state)> it);

private:
    void end_with(state it);

    options options_;
    mutex mutex_;
    std::string bytes_ ABSL_GUARDED_BY(mutex_);
    std::size_t start_ ABSL_GUARDED_BY(mutex_){0};
    bool producer_waits_ ABSL_GUARDED_BY(mutex_){false};
    state state_ ABSL_GUARDED_BY(mutex_){state::open};
    std::function<void()> on_data_ ABSL_GUARDED_BY(mutex_);
    std::function<void()> on_space_ ABSL_GUARDED_BY(mutex_);
    std::function<void(state)> on_end_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
