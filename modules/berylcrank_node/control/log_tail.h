#pragma once

#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_node/control/shared_config.h"
#include "modules/berylcrank_platform/log/log_service.h"

#include <optional>

namespace berylcrank {

/** What reading the log showed last. @see freshness_inputs */
struct log_evidence {
    std::optional<instant> end_read; ///< When the last read that reached the log's end was sent.
    std::optional<instant> answered; ///< When the log last answered a read.
    std::optional<instant> refused;  ///< When the log last refused a read.
    std::uint64_t first_offset{0};   ///< Oldest offset that the log kept then.
    std::uint64_t next_offset{0};    ///< Offset of the next append then.
    bool uncovered{false};           ///< Records were trimmed unread; a snapshot or peer is needed.
    std::uint64_t failed_reads{0};
    std::uint64_t regressions{0}; ///< Answers that end below what was applied before the read.
};

/** Reads the log and applies its records, one read for each step. Used by one thread; `evidence` is safe from
   any thread.

    @see config_follower
*/
class log_tail {
public:
    struct options {
        millis poll{500};       ///< Long poll at the log's end.
        millis gap_wait{15000}; ///< How long to look for records that were trimmed unread.
        millis retry{100};      ///< Shortest wait after a failed read; the longest is three times this.
        std::uint32_t page_records{64}; ///< Most records in one read; halved after an unreadable answer.
    };

    log_tail(options it, log_service& log, shared_config& config, const clock& time, random_source& random)
        : options_(it), page_records_(it.page_records), log_(log), config_(config), clock_(time),
          random_(random) {}

    /** Performs one read; returns how long to wait before the next step. */
    millis step();

    [[nodiscard]] log_evidence evidence() const;

private:
    void take_page(const log_page& page, instant sent, std::uint64_t from);
    void follow(const log_page& page);
    void cover(const log_page& page);
    void take_error(const log_error& it);

    options options_;
    std::uint32_t page_records_; ///< Used for the next read.
    log_service& log_;
    shared_config& config_;
    const clock& clock_;
    random_source& random_;

    bool at_end_{false};
    std::optional<instant> uncovered_since_;
    std::uint64_t scan_from_{0};

    mutable mutex mutex_;
    log_evidence evidence_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
