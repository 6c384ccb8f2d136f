#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/millis.h"

namespace berylcrank {

/** Lets a thread wait until it is woken, must stop, or a timeout expires. Thread-safe. */
class stop_signal {
public:
    /** Waits until `wake`, `stop` or the end of `limit`. @return True once stopped. */
    bool wait(millis limit) {
        const lock_guard guard(mutex_);
        changed_.wait_for(mutex_, limit.to_chrono(), [&] { return stopped_ || woken_; });
        woken_ = false;
        return stopped_;
    }

    /** Ends one wait early. */
    void wake() {
        const lock_guard guard(mutex_);
        woken_ = true;
        changed_.notify_all();
    }

    /** Ends the current wait and all later ones. */
    void stop() {
        const lock_guard guard(mutex_);
        stopped_ = true;
        changed_.notify_all();
    }

    [[nodiscard]] bool is_stopped() {
        const lock_guard guard(mutex_);
        return stopped_;
    }

private:
    mutex mutex_;
    condition changed_;
    bool woken_{false};
    bool stopped_{false};
};

} // namespace berylcrank
