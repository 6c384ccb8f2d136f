#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace berylcrank {

/** A duration in milliseconds with microsecond resolution.

    @see instant, clock
*/
class millis {
public:
    constexpr millis() = default;

    /** Makes a duration of `ms` whole milliseconds. */
    constexpr explicit millis(std::int64_t ms) : micros_(ms * 1000) {}

    /** Makes a duration from microseconds. @see micros */
    static constexpr millis from_micros(std::int64_t us) {
        millis it;
        it.micros_ = us;
        return it;
    }

    /** Makes a duration from fractional milliseconds, rounded toward zero to a microsecond. @see value */
    static constexpr millis from_value(double ms) {
        return from_micros(static_cast<std::int64_t>(ms * 1000.0));
    }

    /** Whole milliseconds, rounded toward zero. @see value */
    [[nodiscard]] constexpr std::int64_t count() const { return micros_ / 1000; }

    /** Milliseconds with a fraction. @see count */
    [[nodiscard]] constexpr double value() const { return static_cast<double>(micros_) / 1000.0; }

    /** Microseconds. @see from_micros */
    [[nodiscard]] constexpr std::int64_t micros() const { return micros_; }

    /** The same duration for the standard library. */
    [[nodiscard]] constexpr std::chrono::microseconds to_chrono() const {
        return std::chrono::microseconds{micros_};
    }

    constexpr auto operator<=>(const millis&) const = default; // NOLINT(modernize-use-nullptr): false report
    constexpr millis operator+(millis other) const { return from_micros(micros_ + other.micros_); }
    constexpr millis operator-(millis other) const { return from_micros(micros_ - other.micros_); }
    constexpr millis operator*(double factor) const {
        return from_micros(static_cast<std::int64_t>(static_cast<double>(micros_) * factor));
    }
    constexpr millis& operator+=(millis other) {
        micros_ += other.micros_;
        return *this;
    }

private:
    std::int64_t micros_{0};
};

} // namespace berylcrank
