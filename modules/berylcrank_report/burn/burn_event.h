#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace berylcrank {

/** Classification of a finished request for the objectives of its service. @see burn_counts */
enum class burn_event : std::uint8_t {
    good,    ///< Complete response within the latency objective.
    slow,    ///< Complete response, later than the latency objective.
    refused, ///< The request did not run.
    failed,  ///< The request may have run without a response, or the response has a 5xx status.
    cut_off, ///< The response was truncated.
};

/** Number of event types. */
inline constexpr std::size_t burn_event_count = 5;

/** Returns the name of an event in reports and JSON. */
constexpr std::string_view to_string(burn_event event) {
    constexpr std::array<std::string_view, burn_event_count> names{"good", "slow", "refused", "failed",
                                                                   "cut_off"};
    return names[static_cast<std::size_t>(event)];
}

/** Number of requests of one service in one window, per event type. @see burn_counter */
struct burn_counts {
    std::array<std::uint64_t, burn_event_count> events{};

    /** Returns the number of requests with this event type. */
    [[nodiscard]] std::uint64_t count(burn_event event) const {
        return events[static_cast<std::size_t>(event)];
    }

    /** Returns the number of all requests. */
    [[nodiscard]] std::uint64_t total() const {
        std::uint64_t sum = 0;
        for (const auto n : events) {
            sum += n;
        }
        return sum;
    }

    /** Returns the number of requests with a complete response, within the latency objective or not. */
    [[nodiscard]] std::uint64_t completed() const {
        return count(burn_event::good) + count(burn_event::slow);
    }

    void add(burn_event event, std::uint64_t n = 1) { events[static_cast<std::size_t>(event)] += n; }

    void add(const burn_counts& other) {
        for (std::size_t i = 0; i < burn_event_count; ++i) {
            events[i] += other.events[i];
        }
    }

    bool operator==(const burn_counts&) const = default;
};

/** Windows of a report, shortest first. @see burn_counter::window */
enum class burn_window : std::uint8_t { five_minutes, half_hour, one_hour, six_hours, three_days };

/** Number of windows. */
inline constexpr std::size_t burn_window_count = 5;

/** Returns the name of a window in reports and JSON. */
constexpr std::string_view to_string(burn_window window) {
    constexpr std::array<std::string_view, burn_window_count> names{"5m", "30m", "1h", "6h", "3d"};
    return names[static_cast<std::size_t>(window)];
}

/** Returns the length of a window in seconds. */
constexpr std::int64_t length_seconds(burn_window window) {
    constexpr std::array<std::int64_t, burn_window_count> lengths{300, 1800, 3600, 21600, 259200};
    return lengths[static_cast<std::size_t>(window)];
}

} // namespace berylcrank
