#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <atomic>

namespace berylcrank {

/** A source of the current time. Decision code takes instants as arguments; only adapters hold a clock.

    @see steady_clock, manual_clock
*/
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /** The current time; never goes backwards. Safe to call from any thread. */
    [[nodiscard]] virtual instant now() const = 0;
};

/** The steady clock of the operating system, counted from the construction of this object.

    It includes the time for which the process was stopped by a signal.
    @see clock
*/
class steady_clock final : public clock {
public:
    steady_clock() : start_(std::chrono::steady_clock::now()) {}

    [[nodiscard]] instant now() const override {
        const auto it = std::chrono::steady_clock::now() - start_;
        return instant{
            millis::from_micros(std::chrono::duration_cast<std::chrono::microseconds>(it).count())};
    }

private:
    std::chrono::steady_clock::time_point start_;
};

/** A clock that moves only when told to.

    @see clock
*/
class manual_clock final : public clock {
public:
    [[nodiscard]] instant now() const override { return instant{millis::from_micros(micros_.load())}; }

    /** Moves the clock forward by `step`. */
    void advance(millis step) { micros_.fetch_add(step.micros()); }

private:
    std::atomic<std::int64_t> micros_{0};
};

} // namespace berylcrank
