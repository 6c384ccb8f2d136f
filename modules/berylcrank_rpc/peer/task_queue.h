#pragma once

#include "modules/berylcrank_core/sync/mutex.h"

#include <functional>
#include <vector>

namespace berylcrank {

/** Hands tasks from any thread to the thread that reads the pipe.

    A byte is in the pipe whenever tasks are waiting, so that the reader's event loop wakes up.
*/
class task_queue {
public:
    using task = std::function<void()>;

    /** Throws `std::system_error` if no pipe can be made. */
    task_queue();
    ~task_queue();
    task_queue(const task_queue&) = delete;
    task_queue& operator=(const task_queue&) = delete;

    /** Adds a task; false, and the task is destroyed here, if the queue is closed. */
    bool post(task it);

    /** Wakes the reader for the last time; later tasks are not taken. */
    void close();

    /** All waiting tasks. `is_closed` receives whether the queue was closed. */
    std::vector<task> take(bool& is_closed);

    /** The non-blocking end of the pipe that the reader watches. */
    [[nodiscard]] int read_end() const { return read_end_; }

private:
    void wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    int read_end_{-1};
    int write_end_{-1};
    mutex mutex_;
    std::vector<task> tasks_ ABSL_GUARDED_BY(mutex_);
    bool closed_ ABSL_GUARDED_BY(mutex_){false};
};

} // namespace berylcrank
