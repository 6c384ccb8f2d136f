#pragma once

#include "modules/berylcrank_core/sync/mutex.h"

#include <functional>
#include <vector>

namespace berylcrank {

/** Passes tasks from any thread to the thread that reads the pipe. Thread-safe.

    The pipe contains a byte whenever tasks are waiting, so that the reader's event loop wakes up.
*/
class task_queue {
public:
    using task = std::function<void()>;

    /** Throws `std::system_error` if the pipe cannot be created. */
    task_queue();
    ~task_queue();
    task_queue(const task_queue&) = delete;
    task_queue& operator=(const task_queue&) = delete;

    /** Adds a task. If the queue is closed, destroys the task and returns false. */
    bool post(task new_task);

    /** Closes the queue and wakes the reader. Later tasks are rejected. */
    void close();

    /** Removes and returns all waiting tasks. Sets `is_closed` to whether the queue is closed. */
    std::vector<task> take(bool& is_closed);

    /** Returns the non-blocking read end of the pipe, which the reader polls. */
    [[nodiscard]] int read_end() const { return read_end_; }

private:
    void wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    int read_end_{-1};
    int write_end_{-1};
    mutex mutex_;
    std::vector<task> tasks_ ABSL_GUARDED_BY(mutex_);
    bool is_closed_ ABSL_GUARDED_BY(mutex_){false};
};

} // namespace berylcrank
