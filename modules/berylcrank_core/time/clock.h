#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <atomic>
#include <ctime>

namespace berylcrank {

/** Source of the current time. Decision code takes instants as arguments; only adapters have a clock.

    @see steady_clock, manual_clock
*/
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /** Returns the current time, which never decreases. Safe from any thread. */
    [[nodiscard]] virtual instant now() const = 0;
};

/** Monotonic clock of the operating system. Its origin is the construction of this object.

    Time in which the process is stopped by a signal counts; time in which the machine is suspended does not.
    @see clock
*/
class steady_clock final : public clock {
public:
    steady_clock() : start_(std::chrono::steady_clock::now()) {}

    [[nodiscard]] instant now() const override {
        const auto elapsed = std::chrono::steady_clock::now() - start_;
        return instant{
            millis::from_micros(std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count())};
    }

private:
    std::chrono::steady_clock::time_point start_;
};

/** Monotonic clock of the operating system that also counts the time in which the machine is suspended.
    After a suspension, the age of older data therefore includes the suspension.

    @see clock
*/
class boot_clock final : public clock {
public:
    boot_clock() : start_(micros()) {}

    [[nodiscard]] instant now() const override {
        return instant{origin_gap + millis::from_micros(micros() - start_)};
    }

private:
    // Time from the origin to the construction of this object. The origin means "never".
    static constexpr millis origin_gap{3'600'000};

    static std::int64_t micros() {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return static_cast<std::int64_t>(time.tv_sec) * 1'000'000 + time.tv_nsec / 1000;
    }

    std::int64_t start_;
};

/** Clock that changes only by calls to `advance`.

    @see clock
*/
class manual_clock final : public clock {
public:
    [[nodiscard]] instant now() const override { return instant{millis::from_micros(micros_.load())}; }

    /** Advances the clock by `step`. */
    void advance(millis step) { micros_.fetch_add(step.micros()); }

private:
    std::atomic<std::int64_t> micros_{0};
};

} // namespace berylcrank
