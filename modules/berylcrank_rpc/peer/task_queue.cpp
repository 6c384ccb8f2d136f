#include "modules/berylcrank_rpc/peer/task_queue.h"

#include <array>
#include <cerrno>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace berylcrank {

task_queue::task_queue() {
    std::array<int, 2> ends{};
    if (::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
        throw std::system_error(errno, std::generic_category(), "pipe2");
    }
    read_end_ = ends[0];
    write_end_ = ends[1];
}

task_queue::~task_queue() {
    ::close(read_end_);
    ::close(write_end_);
}

bool task_queue::post(task new_task) {
    const lock_guard hold(mutex_);
    if (is_closed_) {
        return false;
    }
    if (tasks_.empty()) {
        wake();
    }
    tasks_.push_back(std::move(new_task));
    return true;
}

void task_queue::close() {
    const lock_guard hold(mutex_);
    is_closed_ = true;
    wake();
}

std::vector<task_queue::task> task_queue::take(bool& is_closed) {
    std::vector<task> out;
    const lock_guard hold(mutex_);
    out.swap(tasks_);
    is_closed = is_closed_;
    return out;
}

void task_queue::wake() {
    const char byte = 0;
    // If the pipe is full, the reader is already being woken.
    while (::write(write_end_, &byte, 1) < 0 && errno == EINTR) {
    }
}

} // namespace berylcrank
