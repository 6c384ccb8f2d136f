#pragma once

#include "modules/berylcrank_core/sync/mutex.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

namespace berylcrank {

/** Performs I/O on an event loop. Called only on the loop's thread. Must not block.

    @see event_loop
*/
class event_handler {
public:
    using time_point = std::chrono::steady_clock::time_point;

    event_handler() = default;
    event_handler(const event_handler&) = delete;
    event_handler& operator=(const event_handler&) = delete;
    virtual ~event_handler() = default;

    /** Called when a watched descriptor is ready. `events` is an epoll event mask. */
    virtual void on_ready(int fd, std::uint32_t events) = 0;

    /** Called before the loop waits for events. Performs the work that is due and returns the latest time of
        the next call, or nothing if no time is needed. */
    virtual std::optional<time_point> process_due(time_point now) = 0;
};

/** A thread that waits for descriptors and timers on behalf of its event handlers.

    The server and the upstream client can share loops, so that a request and its response are processed
    without a thread switch.
    @see event_handler, loop_group
*/
class event_loop {
public:
    event_loop();

    /** Stops the thread. All handlers must have been removed. */
    ~event_loop();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Returns the loop that runs on the calling thread, or null if there is none. */
    static event_loop* current();

    /** Calls `function` on the loop's thread and blocks until it has returned. */
    void call(const std::function<void()>& function);

    /** Adds a handler and returns its id. Call on the loop's thread only. @see call */
    unsigned add(event_handler& handler);

    /** Removes a handler, which must not watch any descriptor. Call on the loop's thread only. @see call */
    void remove(unsigned handler_id);

    /** Watches a descriptor for the epoll events `events`, replacing its earlier events. Call on the loop's
        thread only. */
    void watch(unsigned handler_id, int fd, std::uint32_t events);

    /** Stops watching a descriptor. Call on the loop's thread only. */
    void unwatch(int fd);

    /** Makes the loop call `event_handler::process_due` of all handlers soon. Thread-safe; needs no system
        call on the loop's own thread. */
    void wake();

private:
    void run();
    void run_tasks();
    std::optional<event_handler::time_point> process_due();
    void wait(std::optional<event_handler::time_point> wake_at);

    int epoll_;
    int wake_event_;
    std::atomic<bool> is_stopping_{false};
    std::atomic<bool> is_wake_pending_{false}; ///< `wake_event_` is signalled or about to be.

    // Accessed only on the loop's thread.
    bool is_work_pending_{false};
    std::vector<event_handler*> handlers_;

    mutex mutex_;
    condition task_done_;
    std::vector<const std::function<void()>*> tasks_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t tasks_posted_ ABSL_GUARDED_BY(mutex_){0};
    std::uint64_t tasks_done_ ABSL_GUARDED_BY(mutex_){0};
    std::thread thread_;
};

/** A fixed set of event loops. @see event_loop */
class loop_group {
public:
    /** Starts `threads` loops, but at least one. */
    explicit loop_group(unsigned threads);

    [[nodiscard]] std::size_t size() const { return loops_.size(); }
    [[nodiscard]] event_loop& at(std::size_t n) const { return *loops_[n]; }

private:
    std::vector<std::unique_ptr<event_loop>> loops_;
};

} // namespace berylcrank
