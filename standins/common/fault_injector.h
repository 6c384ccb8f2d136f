#pragma once

#include "modules/berylcrank_core/sync/mutex.h"

#include <chrono>
#include <string>

namespace berylcrank::standin {

/** Injects faults into the HTTP responses of a platform stand-in: status 503, no response, or a delay. */
class fault_injector {
public:
    /** Sets the outage: "none", "refuse" (status 503) or "silent" (the connection stays open without a
        response). Returns false for any other value. */
    bool set_outage(const std::string& outage) {
        if (outage != "none" && outage != "refuse" && outage != "silent") {
            return false;
        }
        const lock_guard guard(mutex_);
        outage_ = outage;
        changed_.notify_all();
        return true;
    }

    /** Delays each response. */
    void set_delay(std::chrono::milliseconds delay) {
        const lock_guard guard(mutex_);
        delay_ = delay;
    }

    /** Blocks for the delay and for a "silent" outage. Returns 0 to process the request, an HTTP status to
        respond with, or -1 to close the connection. */
    int apply() {
        const lock_guard guard(mutex_);
        if (delay_.count() > 0) {
            changed_.wait_for(mutex_, delay_, [&] { return stopped_; });
        }
        return check_outage();
    }

    /** Like `apply`, without the delay. */
    int apply_outage() {
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
            // The connection is closed when the outage ends, as after a network failure.
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
