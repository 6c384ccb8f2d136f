#pragma once

#include "modules/berylcrank_core/sync/mutex.h"
#include "modules/berylcrank_core/time/millis.h"

#include <chrono>
#include <functional>
#include <map>
#include <thread>

namespace berylcrank::standins {

/** Runs delayed callbacks on its own thread, in the order of their due times. */
class timer_thread {
public:
    timer_thread();

    /** Discards pending callbacks. */
    ~timer_thread();

    timer_thread(const timer_thread&) = delete;
    timer_thread& operator=(const timer_thread&) = delete;

    /** Runs `callback` after `delay`. The callback must not block. */
    void call_after(millis delay, std::function<void()> callback);

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
