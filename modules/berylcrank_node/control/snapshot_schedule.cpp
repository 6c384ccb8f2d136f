#include "modules/berylcrank_node/control/snapshot_schedule.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr double due_retention_fraction = 0.5;

/** Maximum random wait, as a fraction of the retention time and in ms. */
constexpr double max_wait_retention_fraction = 0.125;
constexpr millis max_wait{30000};
constexpr millis max_urgent_wait{2000};

/** Trimming by count is checked only for logs with at least this many records; a snapshot itself takes
    several. */
constexpr std::uint64_t min_trim_check_records = 64;

} // namespace

bool snapshot_schedule::is_due(const snapshot_inputs& it) {
    update_newest(it);
    if (!is_needed(it)) {
        planned_at_.reset();
        return false;
    }
    if (!planned_at_) {
        const auto limit = is_urgent(it) ? max_urgent_wait : max_wait;
        planned_at_ =
            it.now + std::min(options_.retention * max_wait_retention_fraction, limit) * random_.unit();
    }
    if (it.now < *planned_at_) {
        return false;
    }
    // Plans the next attempt. The plan is dropped if this snapshot appears on the log first.
    planned_at_ = it.now + std::min(options_.retention * max_wait_retention_fraction, max_wait);
    return true;
}

bool snapshot_schedule::is_needed(const snapshot_inputs& it) const {
    if (it.applied == 0) {
        return false;
    }
    if (is_urgent(it)) {
        return true;
    }
    return it.now - *newest_written_at_ >= options_.retention * due_retention_fraction;
}

bool snapshot_schedule::is_urgent(const snapshot_inputs& it) const {
    if (it.first_offset == 0) {
        return false;
    }
    if (!it.newest || it.newest->applied < it.first_offset) {
        return true;
    }
    const auto kept = it.next_offset - it.first_offset;
    return kept >= min_trim_check_records && it.newest->applied - it.first_offset < kept / 4;
}

void snapshot_schedule::update_newest(const snapshot_inputs& it) {
    if (!newest_written_at_) {
        // The age of a snapshot from before the start is not known. It is estimated from the snapshot's
        // position among the records kept. Counting from the start instead would never write one if all
        // nodes restart often.
        auto age = millis{0};
        if (it.newest && it.first_offset > 0 && it.next_offset > it.first_offset) {
            const auto records_since =
                static_cast<double>(it.next_offset - std::min(it.newest->last_offset, it.next_offset));
            age =
                options_.retention * (records_since / static_cast<double>(it.next_offset - it.first_offset));
        }
        newest_written_at_ = it.now - age;
        newest_offset_ = it.newest ? std::optional(it.newest->last_offset) : std::nullopt;
    } else if (it.newest && newest_offset_ != it.newest->last_offset) {
        newest_offset_ = it.newest->last_offset;
        newest_written_at_ = it.now;
        planned_at_.reset();
    }
}

} // namespace berylcrank
