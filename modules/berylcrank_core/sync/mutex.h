#pragma once

#include "absl/base/thread_annotations.h"

#include <condition_variable>
#include <mutex>

namespace berylcrank {

/** A `std::mutex` with thread-safety annotations.

    `absl::Mutex` is not used because ThreadSanitizer does not see the prebuilt one and reports false races.
    @see lock_guard, condition
*/
class ABSL_LOCKABLE mutex {
public:
    void lock() ABSL_EXCLUSIVE_LOCK_FUNCTION() { it_.lock(); }
    void unlock() ABSL_UNLOCK_FUNCTION() { it_.unlock(); }
    bool try_lock() ABSL_EXCLUSIVE_TRYLOCK_FUNCTION(true) { return it_.try_lock(); }

private:
    std::mutex it_;
};

/** Holds a mutex for a scope.

    @see mutex
*/
class ABSL_SCOPED_LOCKABLE lock_guard {
public:
    explicit lock_guard(mutex& it) ABSL_EXCLUSIVE_LOCK_FUNCTION(it) : mutex_(it) { mutex_.lock(); }
    ~lock_guard() ABSL_UNLOCK_FUNCTION() { mutex_.unlock(); }
    lock_guard(const lock_guard&) = delete;
    lock_guard& operator=(const lock_guard&) = delete;

private:
    mutex& mutex_;
};

/** A condition variable that waits on a `mutex` held by the calling thread.

    @see mutex
*/
using condition = std::condition_variable_any;

} // namespace berylcrank
