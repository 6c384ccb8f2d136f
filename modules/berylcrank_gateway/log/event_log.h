#pragma once

#include "modules/berylcrank_core/time/clock.h"

#include <absl/container/flat_hash_map.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace berylcrank {

class event_log;

/** A log line under construction. Does nothing if the rate limit of its event is exhausted.

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

    /** Appends the line to the log. Further calls have no effect. */
    void send();

private:
    event_log* log_;
    std::string text_;
};

/** Structured log that writes one JSON object per line to a file descriptor.

    Each event has its own rate limit. Lines over the limit are dropped and counted; the next line of the
    event reports the count in the field "left_out". Lines are buffered in memory until `flush`, which writes
    as much as the descriptor accepts and never blocks. Lines that exceed the buffer are dropped and counted
    too.
*/
class event_log {
public:
    /** Lines per second and event. Enough to log every decision at 30 requests per second and node. */
    static constexpr double lines_per_second = 40;
    /** Lines of one event that may be written at once. */
    static constexpr double burst_lines = 80;
    /** Maximum number of bytes that are buffered for the descriptor. */
    static constexpr std::size_t max_buffered_bytes = 256U << 10U;

    /** Writes to `fd`, which is set to non-blocking mode and not closed. Every line contains `node`. */
    event_log(int fd, std::string node, const clock& time);

    /** Starts a line for an event. */
    log_line line(std::string_view event);

    /** Writes the buffered bytes. Call this periodically and before exit. */
    void flush();

    /** Number of lines dropped by a rate limit or a full buffer. */
    [[nodiscard]] std::uint64_t dropped_lines() const { return dropped_lines_; }

private:
    friend class log_line;
    struct token_bucket {
        double tokens{burst_lines};
        instant at;
        std::uint64_t dropped{0};
    };

    void append_line(const std::string& text);

    int fd_;
    std::string node_;
    const clock& time_;
    std::string buffer_;
    absl::flat_hash_map<std::string, token_bucket> buckets_;
    std::uint64_t dropped_lines_{0};
};

} // namespace berylcrank
