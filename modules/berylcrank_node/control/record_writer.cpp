#include "modules/berylcrank_node/control/record_writer.h"

#include "modules/berylcrank_config/state/record_codec.h"
#include "modules/berylcrank_config/state/state_codec.h"

#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>

namespace berylcrank {

namespace {

constexpr millis idle_wait{200};

/** A snapshot that is not appended within this fraction of the retention time is abandoned. */
constexpr double max_write_retention_fraction = 0.25;

} // namespace

void record_writer::propose(std::span<const holder_assignment> list) {
    const lock_guard guard(mutex_);
    for (const auto& it : list) {
        std::erase_if(proposals_, [&](const auto& old) { return old.content.group == it.group; });
        proposals_.push_back({.content = it, .next_append = clock_.now()});
    }
}

millis record_writer::step(const log_read_status& log, bool is_current) {
    const auto due = due_proposals();
    if (!due.empty()) {
        return append_assignments(due) ? millis{0} : retry_wait();
    }
    if (is_current && parts_.empty()) {
        plan_snapshot(log);
    }
    if (parts_.empty()) {
        return idle_wait;
    }
    return append_part() ? millis{0} : retry_wait();
}

std::vector<holder_assignment> record_writer::due_proposals() {
    const auto view = config_.view();
    const auto now = clock_.now();
    std::vector<holder_assignment> out;
    const lock_guard guard(mutex_);
    // A proposal is settled once the group's holder is no longer the one to replace.
    std::erase_if(proposals_, [&](const auto& it) {
        return view->holder_of(it.content.group).holder != it.content.replaces;
    });
    for (const auto& it : proposals_) {
        if (it.next_append <= now) {
            out.push_back(it.content);
        }
    }
    return out;
}

bool record_writer::append_assignments(const std::vector<holder_assignment>& list) {
    if (!append(encode_assignments(list))) {
        return false;
    }
    const auto next_append = clock_.now() + options_.confirm_timeout;
    const lock_guard guard(mutex_);
    for (auto& it : proposals_) {
        for (const auto& sent : list) {
            if (it.content == sent) {
                it.next_append = next_append;
            }
        }
    }
    return true;
}

void record_writer::plan_snapshot(const log_read_status& log) {
    const auto now = clock_.now();
    const bool is_due = schedule_.is_due({.now = now,
                                          .first_offset = log.first_offset,
                                          .next_offset = log.next_offset,
                                          .applied = config_.applied(),
                                          .newest = config_.newest_snapshot()});
    if (!is_due) {
        return;
    }
    const auto [encoded, applied] = config_.snapshot();
    auto records = split_snapshot(encoded, applied, random_.next());
    parts_.assign(std::make_move_iterator(records.begin()), std::make_move_iterator(records.end()));
    parts_applied_ = applied;
    parts_deadline_ = now + options_.retention * max_write_retention_fraction;
}

bool record_writer::append_part() {
    const auto newest = config_.newest_snapshot();
    const bool is_superseded = newest && newest->applied > parts_applied_;
    if (is_superseded || clock_.now() > parts_deadline_) {
        parts_.clear();
        return true;
    }
    if (!append(parts_.front())) {
        return false;
    }
    parts_.pop_front();
    if (parts_.empty()) {
        snapshots_written_.fetch_add(1);
    }
    return true;
}

bool record_writer::append(const std::string& record) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_CHECK(log_.append(record));
            return true;
        },
        [&](const log_error& it) {
            if (it.what == log_error::kind::too_large) {
                LOG(ERROR) << it.message << ": a record of " << record.size() << " bytes was rejected";
            }
            return false;
        },
        [] { return false; });
}

} // namespace berylcrank
