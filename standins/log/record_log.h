#pragma once

#include "modules/berylcrank_core/sync/mutex.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace berylcrank::standin {

/** Limits of the log; set by `POST /control`. */
struct log_limits {
    std::int64_t retention_ms{3600000};
    std::uint64_t retention_count{1000000};
    std::uint64_t appends_per_second{500};
    std::uint64_t record_bytes{1U << 20U};

    /** Maximum size of the records of a page. A page with a single record may be larger. */
    std::uint64_t page_bytes{1U << 20U};
};

/** Result of `record_log::append`. */
enum class append_outcome : std::uint8_t { appended, throttled, too_large };

/** The in-memory records of the log stand-in. Thread-safe. */
class record_log {
public:
    /** The records that a read returns, and the range of offsets that the log holds. */
    struct page {
        std::uint64_t first{0};
        std::uint64_t next{0};
        std::vector<std::pair<std::uint64_t, std::string>> records;
    };

    /** Appends a record and sets `offset` to its offset. */
    append_outcome append(std::string data, std::uint64_t& offset);

    /** Returns up to `max` records from offset `from` on. Waits up to `wait` if there are none. */
    page read(std::uint64_t from, std::uint64_t max, std::chrono::milliseconds wait);

    /** Removes the records below `offset`. */
    void trim(std::uint64_t offset);

    void set_limits(const log_limits& it);
    log_limits limits();

    /** Wakes all waiting reads. */
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
