#pragma once

#include "modules/berylcrank_core/time/millis.h"

namespace berylcrank {

/** Point in time on the monotonic clock of one process. Instants of different processes are not comparable.

    @see millis, clock
*/
class instant {
public:
    constexpr instant() = default;

    /** Creates the instant that is `since_start` after the origin of the clock. */
    constexpr explicit instant(millis since_start) : since_start_(since_start) {}

    /** Returns the time since the origin of the clock. */
    [[nodiscard]] constexpr millis since_start() const { return since_start_; }

    /** Returns an instant that is later than any reading of a clock. */
    static constexpr instant never() { return instant{millis::from_micros(INT64_MAX / 4)}; }

    constexpr auto operator<=>(const instant&) const = default; // NOLINT(modernize-use-nullptr): false report
    constexpr instant operator+(millis other) const { return instant{since_start_ + other}; }
    constexpr instant operator-(millis other) const { return instant{since_start_ - other}; }
    constexpr millis operator-(instant other) const { return since_start_ - other.since_start_; }

private:
    millis since_start_;
};

} // namespace berylcrank
