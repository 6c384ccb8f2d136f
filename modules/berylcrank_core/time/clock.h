#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <atomic>
#include <ctime>

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

/** The clock of the operating system that also counts the time for which the machine was suspended, so that
   what was learnt before a suspension is as old as it really is.

    @see clock
*/
class boot_clock final : public clock {
public:
    boot_clock() : start_(micros()) {}

    [[nodiscard]] instant now() const override {
        return instant{origin_gap + millis::from_micros(micros() - start_)};
    }

private:
    // Distance from the origin, which stands for "never", to the construction.
    static constexpr millis origin_gap{3'600'000};

    static std::int64_t micros() {
        timespec it{};
        clock_gettime(CLOCK_BOOTTIME, &it);
        return static_cast<std::int64_t>(it.tv_sec) * 1'000'000 + it.tv_nsec / 1000;
    }

    std::int64_t start_;
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
