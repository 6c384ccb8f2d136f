#include "modules/berylcrank_node/control/snapshot_schedule.h"

#include <algorithm>

namespace berylcrank {

namespace {

constexpr double needed_after_retention = 0.5;

/** Longest random wait, as a share of the retention time and in ms. */
constexpr double wait_of_retention = 0.125;
constexpr millis longest_wait{30000};
constexpr millis longest_urgent_wait{2000};

/** Records below which trimming by count is not looked at; a snapshot itself is several records. */
constexpr std::uint64_t least_records = 64;

} // namespace

bool snapshot_schedule::is_due(const snapshot_inputs& it) {
    note_newest(it);
    if (!is_needed(it)) {
        planned_.reset();
        return false;
    }
    if (!planned_) {
        const auto longest = is_urgent(it) ? longest_urgent_wait : longest_wait;
        planned_ = it.now + std::min(options_.retention * wait_of_retention, longest) * random_.unit();
    }
    if (it.now < *planned_) {
        return false;
    }
    // The next one is planned anew, unless this one turns up on the log first.
    planned_ = it.now + std::min(options_.retention * wait_of_retention, longest_wait);
    return true;
}

bool snapshot_schedule::is_needed(const snapshot_inputs& it) const {
    if (it.applied == 0) {
        return false;
    }
    if (is_urgent(it)) {
        return true;
    }
    return it.now - *written_ >= options_.retention * needed_after_retention;
}

bool snapshot_schedule::is_urgent(const snapshot_inputs& it) const {
    if (it.first_offset == 0) {
        return false;
    }
    if (!it.newest || it.newest->applied < it.first_offset) {
        return true;
    }
    const auto kept = it.next_offset - it.first_offset;
    return kept >= least_records && it.newest->applied - it.first_offset < kept / 4;
}

void snapshot_schedule::note_newest(const snapshot_inputs& it) {
    if (!written_) {
        // A snapshot from before the start has no known age. Its place among the records kept tells roughly;
        // counting from the start instead would never write one if all nodes restart often.
        auto age = millis{0};
        if (it.newest && it.first_offset > 0 && it.next_offset > it.first_offset) {
            const auto behind =
                static_cast<double>(it.next_offset - std::min(it.newest->last_offset, it.next_offset));
            age = options_.retention * (behind / static_cast<double>(it.next_offset - it.first_offset));
        }
        written_ = it.now - age;
        known_ = it.newest ? std::optional(it.newest->last_offset) : std::nullopt;
    } else if (it.newest && known_ != it.newest->last_offset) {
        known_ = it.newest->last_offset;
        written_ = it.now;
        planned_.reset();
    }
}

} // namespace berylcrank
