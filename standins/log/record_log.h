#pragma once

#include "modules/berylcrank_core/sync/mutex.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace berylcrank::standin {

/** Limits and faults of the log; set over `POST /control`. */
struct log_limits {
    std::int64_t retention_ms{3600000};
    std::uint64_t retention_count{1000000};
    std::uint64_t appends_per_second{500};
    std::uint64_t record_bytes{1U << 20U};
    std::uint64_t page_bytes{1U << 20U}; ///< A page ends after this many bytes of records.
};

/** Result of an append. */
enum class append_outcome : std::uint8_t { appended, throttled, too_large };

/** The records of the log stand-in, in memory. Safe for several threads. */
class record_log {
public:
    struct page {
        std::uint64_t first{0};
        std::uint64_t next{0};
        std::vector<std::pair<std::uint64_t, std::string>> records;
    };

    append_outcome append(std::string data, std::uint64_t& offset);

    /** Waits up to `wait` for a record at `from` or later. */
    page read(std::uint64_t from, std::uint64_t max, std::chrono::milliseconds wait);

    /** Drops records below `offset`. */
    void trim(std::uint64_t offset);

    void set_limits(const log_limits& it);
    log_limits limits();

    /** Ends all waits. */
    void stop();

private:
    struct record {
        std::chrono::steady_clock::time_point at;
        std::string data;
    };

    void apply_retention() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    mutex mutex_;
    condition changed_;
    log_limits limits_ ABSL_GUARDED_BY(mutex_);
    std::deque<record> records_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t first_ ABSL_GUARDED_BY(mutex_){0};
    double tokens_ ABSL_GUARDED_BY(mutex_){0};
    std::chrono::steady_clock::time_point filled_at_ ABSL_GUARDED_BY(mutex_);
    bool stopped_ ABSL_GUARDED_BY(mutex_){false};
};

} // namespace berylcrank::standin
