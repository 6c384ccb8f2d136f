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

/** Something that does its I/O on an event loop. Called only on the loop's thread; must not block.

    @see event_loop
*/
class event_handler {
public:
    using time_point = std::chrono::steady_clock::time_point;

    event_handler() = default;
    event_handler(const event_handler&) = delete;
    event_handler& operator=(const event_handler&) = delete;
    virtual ~event_handler() = default;

    /** A watched descriptor is ready; `events` are those of epoll. */
    virtual void on_ready(int fd, std::uint32_t events) = 0;

    /** Called before the loop waits and after every wake: does what is due and returns when to be called at
       the latest. */
    virtual std::optional<time_point> do_due(time_point now) = 0;
};

/** A thread that waits for descriptors and times on behalf of its members.

    The server and the upstream client share loops, so that a request goes from the caller's connection to the
    upstream's and back without changing threads.
    @see event_handler, loop_group
*/
class event_loop {
public:
    event_loop();

    /** Ends the thread; members must have been removed. */
    ~event_loop();

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** The loop whose thread is calling; null on other threads. */
    static event_loop* current();

    /** Calls `what` on the loop's thread and returns after it has returned. */
    void call(const std::function<void()>& what);

    /** Adds a member; its number is used for `watch`. On the loop's thread only. @see call */
    unsigned add(event_handler& it);

    /** Removes a member; it must watch nothing any more. On the loop's thread only. @see call */
    void remove(unsigned member);

    /** Starts or changes the events for which a descriptor is watched. On the loop's thread only. */
    void watch(unsigned member, int fd, std::uint32_t events);

    /** Ends watching. On the loop's thread only. */
    void unwatch(int fd);

    /** Has `event_handler::do_due` called again soon. From any thread; cheap on the loop's own. */
    void wake();

private:
    void run();
    void run_tasks();
    std::optional<event_handler::time_point> do_due();
    void wait(std::optional<event_handler::time_point> until);

    int epoll_;
    int wake_event_;
    std::atomic<bool> is_stopping_{false};
    std::atomic<bool> is_woken_{false}; ///< The event is set or about to be.

    // Only for the thread.
    bool is_due_again_{false};
    std::vector<event_handler*> members_;

    mutex mutex_;
    condition task_done_;
    std::vector<const std::function<void()>*> tasks_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t tasks_added_ ABSL_GUARDED_BY(mutex_){0};
    std::uint64_t tasks_done_ ABSL_GUARDED_BY(mutex_){0};
    std::thread thread_;
};

/** Loops that share the work of one process. @see event_loop */
class loop_group {
public:
    explicit loop_group(unsigned threads);

    [[nodiscard]] std::size_t size() const { return loops_.size(); }
    [[nodiscard]] event_loop& at(std::size_t n) const { return *loops_[n]; }

private:
    std::vector<std::unique_ptr<event_loop>> loops_;
};

} // namespace berylcrank
