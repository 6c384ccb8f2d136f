#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace berylcrank {

/** How a request counts against the objectives of its service. @see burn_counts */
enum class burn_event : std::uint8_t {
    good,    ///< Whole answer within the latency objective.
    slow,    ///< Whole answer, but later than the latency objective.
    refused, ///< Not run.
    failed,  ///< May have run, or an answer with a 5xx status.
    cut_off, ///< The answer ended early.
};

/** Number of kinds of events. */
inline constexpr std::size_t burn_event_count = 5;

/** Name of an event in reports and in JSON. */
constexpr std::string_view to_string(burn_event it) {
    constexpr std::array<std::string_view, burn_event_count> names{"good", "slow", "refused", "failed",
                                                                   "cut_off"};
    return names[static_cast<std::size_t>(it)];
}

/** Events of one service in one window, in requests. @see burn_counter */
struct burn_counts {
    std::array<std::uint64_t, burn_event_count> events{};

    /** Requests of one kind. */
    [[nodiscard]] std::uint64_t of(burn_event it) const { return events[static_cast<std::size_t>(it)]; }

    /** All requests. */
    [[nodiscard]] std::uint64_t total() const {
        std::uint64_t sum = 0;
        for (const auto it : events) {
            sum += it;
        }
        return sum;
    }

    /** Requests that got a whole answer, late or not. */
    [[nodiscard]] std::uint64_t answered() const { return of(burn_event::good) + of(burn_event::slow); }

    void add(burn_event it, std::uint64_t n = 1) { events[static_cast<std::size_t>(it)] += n; }

    void add(const burn_counts& other) {
        for (std::size_t it = 0; it < burn_event_count; ++it) {
            events[it] += other.events[it];
        }
    }

    bool operator==(const burn_counts&) const = default;
};

/** The windows of a report, shortest first. @see burn_counter::window */
enum class burn_window : std::uint8_t { five_minutes, half_hour, one_hour, six_hours, three_days };

/** Number of windows. */
inline constexpr std::size_t burn_window_count = 5;

/** Name of a window in reports and in JSON. */
constexpr std::string_view to_string(burn_window it) {
    constexpr std::array<std::string_view, burn_window_count> names{"5m", "30m", "1h", "6h", "3d"};
    return names[static_cast<std::size_t>(it)];
}

/** Length of a window in seconds. */
constexpr std::int64_t seconds_of(burn_window it) {
    constexpr std::array<std::int64_t, burn_window_count> lengths{300, 1800, 3600, 21600, 259200};
    return lengths[static_cast<std::size_t>(it)];
}

} // namespace berylcrank
