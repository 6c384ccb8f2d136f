#pragma once

#include "modules/berylcrank_core/sync/mutex.h"

#include <chrono>
#include <string>

namespace berylcrank::standin {

/** Faults that a test causes in a platform stand-in: answers of 503, no answers at all, or late ones. */
class fault_gate {
public:
    /** "none", "refuse" (503) or "silent" (the connection is held without an answer). False for other words.
     */
    bool set_outage(const std::string& it) {
        if (it != "none" && it != "refuse" && it != "silent") {
            return false;
        }
        const lock_guard guard(mutex_);
        outage_ = it;
        changed_.notify_all();
        return true;
    }

    /** Delays each answer. */
    void set_delay(std::chrono::milliseconds it) {
        const lock_guard guard(mutex_);
        delay_ = it;
    }

    /** Waits as the faults demand; returns 0 if the request may go on, a status to answer, or -1 to close the
       connection. */
    int pass() {
        const lock_guard guard(mutex_);
        if (delay_.count() > 0) {
            changed_.wait_for(mutex_, delay_, [&] { return stopped_; });
        }
        return check_outage();
    }

    /** Like `pass`, without the delay. */
    int pass_again() {
        const lock_guard guard(mutex_);
        return check_outage();
    }

    void stop() {
        const lock_guard guard(mutex_);
        stopped_ = true;
        changed_.notify_all();
    }

private:
    int check_outage() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
        if (outage_ == "silent") {
            // What waits when the outage ends is closed, as after a lost connection.
            changed_.wait(mutex_, [&] { return stopped_ || outage_ != "silent"; });
            return -1;
        }
        return stopped_ ? -1 : outage_ == "refuse" ? 503 : 0;
    }

    mutex mutex_;
    condition changed_;
    std::string outage_ ABSL_GUARDED_BY(mutex_){"none"};
    std::chrono::milliseconds delay_ ABSL_GUARDED_BY(mutex_){0};
    bool stopped_ ABSL_GUARDED_BY(mutex_){false};
};

} // namespace berylcrank::standin
