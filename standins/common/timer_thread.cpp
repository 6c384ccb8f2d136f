#include "standins/common/timer_thread.h"

#include <sys/prctl.h>
#include <utility>

namespace berylcrank::standins {

timer_thread::timer_thread() : thread_([this] { run(); }) {}

timer_thread::~timer_thread() {
    {
        const lock_guard hold(mutex_);
        is_stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void timer_thread::call_after(millis delay, std::function<void()> callback) {
    const auto at = steady::now() + delay.to_chrono();
    bool is_first = false;
    {
        const lock_guard hold(mutex_);
        const auto it = calls_.emplace(at, std::move(callback));
        is_first = it == calls_.begin();
    }
    if (is_first) {
        changed_.notify_all();
    }
}

void timer_thread::run() {
    // The kernel's default timer slack of 50 us would lengthen every service time.
    prctl(PR_SET_TIMERSLACK, 1000UL);
    std::unique_lock hold(mutex_);
    while (!is_stopping_) {
        if (calls_.empty()) {
            changed_.wait(hold);
        } else if (const auto at = calls_.begin()->first; at > steady::now()) {
            changed_.wait_until(hold, at);
        } else {
            auto call = calls_.extract(calls_.begin());
            hold.unlock();
            call.mapped()();
            call.mapped() = nullptr;
            hold.lock();
        }
    }
}

} // namespace berylcrank::standins
