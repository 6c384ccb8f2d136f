#pragma once

#include "absl/base/thread_annotations.h"

#include <condition_variable>
#include <mutex>

namespace berylcrank {

/** A `std::mutex` with thread-safety annotations.

    `absl::Mutex` is not used because its prebuilt library is not instrumented for ThreadSanitizer, which then
    reports false data races.
    @see lock_guard, condition
*/
class ABSL_LOCKABLE mutex {
public:
    void lock() ABSL_EXCLUSIVE_LOCK_FUNCTION() { mutex_.lock(); }
    void unlock() ABSL_UNLOCK_FUNCTION() { mutex_.unlock(); }
    bool try_lock() ABSL_EXCLUSIVE_TRYLOCK_FUNCTION(true) { return mutex_.try_lock(); }

private:
    std::mutex mutex_;
};

/** Locks a mutex for the duration of a scope.

    @see mutex
*/
class ABSL_SCOPED_LOCKABLE lock_guard {
public:
    explicit lock_guard(mutex& target) ABSL_EXCLUSIVE_LOCK_FUNCTION(target) : mutex_(target) {
        mutex_.lock();
    }
    ~lock_guard() ABSL_UNLOCK_FUNCTION() { mutex_.unlock(); }
    lock_guard(const lock_guard&) = delete;
    lock_guard& operator=(const lock_guard&) = delete;

private:
    mutex& mutex_;
};

/** Condition variable for use with `mutex`.

    @see mutex
*/
using condition = std::condition_variable_any;

} // namespace berylcrank
