#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/millis.h"

#include <chrono>
#include <functional>
#include <map>
#include <thread>

namespace berylcrank::standins {

/** Calls functions later, on a thread of its own, in the order of their times. */
class timer_thread {
public:
    timer_thread();

    /** Drops what has not been called. */
    ~timer_thread();

    timer_thread(const timer_thread&) = delete;
    timer_thread& operator=(const timer_thread&) = delete;

    /** Calls `what` after `delay`; it must not block. */
    void call_after(millis delay, std::function<void()> what);

private:
    using steady = std::chrono::steady_clock;

    void run();

    mutex mutex_;
    condition changed_;
    std::multimap<steady::time_point, std::function<void()>> calls_ ABSL_GUARDED_BY(mutex_);
    bool is_stopping_ ABSL_GUARDED_BY(mutex_){false};
    std::thread thread_;
};

} // namespace berylcrank::standins
