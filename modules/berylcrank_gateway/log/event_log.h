#pragma once

#include "modules/berylcrank_core/time/clock.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylcrank {

class event_log;

/** One line that is being put together. Empty if its kind has used up its rate.

    @see event_log
*/
class log_line {
public:
    log_line(event_log* log, std::string text) : log_(log), text_(std::move(text)) {}

    log_line& field(std::string_view name, std::string_view value);
    log_line& field(std::string_view name, const std::string& value) {
        return field(name, std::string_view(value));
    }
    log_line& field(std::string_view name, const char* value) { return field(name, std::string_view(value)); }
    log_line& field(std::string_view name, std::int64_t value);
    log_line& field(std::string_view name, std::uint64_t value);
    log_line& field(std::string_view name, int value) {
        return field(name, static_cast<std::int64_t>(value));
    }
    log_line& field(std::string_view name, double value);
    log_line& field(std::string_view name, bool value);

    /** Hands the line over. */
    void send();

private:
    event_log* log_;
    std::string text_;
};

/** Structured log: JSON objects, one a line, on a file descriptor.

    Each kind of line has its own rate limit; what was left out is counted and stated in the next line of that
   kind. Lines are kept in memory until `flush`, which writes as much as the descriptor takes and never
   blocks; beyond a bound, lines are dropped and counted.
*/
class event_log {
public:
    /** Lines of one kind a second. At 30 requests a second and node, each decision of a calm day fits. */
    static constexpr double lines_per_second = 40;
    static constexpr double lines_burst = 80;
    /** Bytes that may wait for the descriptor. */
    static constexpr std::size_t max_waiting = 256U << 10U;

    /** Writes to `fd`, which is switched to non-blocking. `node` is on every line. */
    event_log(int fd, std::string node, const clock& time);

    /** Begins a line of a kind. */
    log_line line(std::string_view kind);

    /** Writes what waits. Called regularly and at the end. */
    void flush();

    /** Lines left out because of a rate or because the descriptor took no bytes. */
    [[nodiscard]] std::uint64_t left_out() const { return left_out_; }

private:
    friend class log_line;
    struct rate {
        double tokens{lines_burst};
        instant at;
        std::uint64_t left_out{0};
    };

    void take(const std::string& text);

    int fd_;
    std::string node_;
    const clock& time_;
    std::string waiting_;
    absl::flat_hash_map<std::string, rate> rates_;
    std::uint64_t left_out_{0};
};

} // namespace berylcrank
