#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace berylcrank {

/** Duration in milliseconds with a resolution of one microsecond.

    @see instant, clock
*/
class millis {
public:
    constexpr millis() = default;

    /** Creates a duration of `ms` milliseconds. */
    constexpr explicit millis(std::int64_t ms) : micros_(ms * 1000) {}

    /** Creates a duration of `us` microseconds. @see micros */
    static constexpr millis from_micros(std::int64_t us) {
        millis out;
        out.micros_ = us;
        return out;
    }

    /** Creates a duration of `ms` milliseconds, rounded toward zero to whole microseconds. @see value */
    static constexpr millis from_value(double ms) {
        return from_micros(static_cast<std::int64_t>(ms * 1000.0));
    }

    /** Returns the number of whole milliseconds, rounded toward zero. @see value */
    [[nodiscard]] constexpr std::int64_t count() const { return micros_ / 1000; }

    /** Returns the number of milliseconds with their fraction. @see count */
    [[nodiscard]] constexpr double value() const { return static_cast<double>(micros_) / 1000.0; }

    /** Returns the number of microseconds. @see from_micros */
    [[nodiscard]] constexpr std::int64_t micros() const { return micros_; }

    /** Converts to a duration of the standard library. */
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
