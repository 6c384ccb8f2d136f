#pragma once

#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/time/clock.h"
#include "modules/berylcrank_node/control/shared_config.h"
#include "modules/berylcrank_platform/log/log_service.h"

#include <optional>

namespace berylcrank {

/** Status of the most recent log reads. @see freshness_inputs */
struct log_read_status {
    std::optional<instant> last_end_read; ///< Send time of the last read that reached the log's end.
    std::optional<instant> last_response; ///< Time of the last readable response.
    std::optional<instant> last_refusal;  ///< Time when the log last refused a read.
    std::uint64_t first_offset{0};        ///< Oldest offset on the log at the last response.
    std::uint64_t next_offset{0};         ///< Offset of the next append at the last response.
    bool has_unread_gap{false};           ///< Records were trimmed unread; a snapshot or a peer is needed.
    std::uint64_t failed_reads{0};
    std::uint64_t regressions{0}; ///< Responses whose log end is below the offset applied before the read.
};

/** Reads the log and applies its records, with one read per step. Used by one thread; `log_status` is
    thread-safe.
    @see config_follower
*/
class log_tail {
public:
    struct options {
        millis poll{500};       ///< Long-poll time at the log's end.
        millis gap_wait{15000}; ///< Time to search for trimmed records in a snapshot or at a peer.
        millis retry{100};      ///< Minimum wait after a failed read; the maximum is three times this.
        std::uint32_t page_records{64}; ///< Maximum per read; halved after an unreadable response.
    };

    log_tail(options it, log_service& log, shared_config& config, const clock& time, random_source& random)
        : options_(it), page_records_(it.page_records), log_(log), config_(config), clock_(time),
          random_(random) {}

    /** Performs one read. @return Time to wait before the next step. */
    millis step();

    [[nodiscard]] log_read_status log_status() const;

private:
    void process_page(const log_page& page, instant sent, std::uint64_t from);
    void apply_page(const log_page& page);
    void search_snapshot(const log_page& page);
    void on_read_error(const log_error& it);

    options options_;
    std::uint32_t page_records_; ///< Number of records for the next read.
    log_service& log_;
    shared_config& config_;
    const clock& clock_;
    random_source& random_;

    bool at_end_{false};
    std::optional<instant> gap_since_;
    std::uint64_t scan_from_{0};

    mutable mutex mutex_;
    log_read_status status_ ABSL_GUARDED_BY(mutex_);
};

} // namespace berylcrank
