#include "modules/berylcrank_node/control/log_tail.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>

namespace berylcrank {

millis log_tail::step() {
    const auto sent = clock_.now();
    const auto from = uncovered_since_ ? scan_from_ : config_.applied();
    const auto wait = at_end_ ? options_.poll : millis{0};
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<millis> {
            BOOST_LEAF_AUTO(page, log_.read(from, page_records_, wait));
            page_records_ = std::min(page_records_ * 2, options_.page_records);
            take_page(page, sent, from);
            return millis{0};
        },
        [&](const log_error& it) {
            take_error(it);
            return options_.retry * (1.0 + 2.0 * random_.unit());
        },
        [&] {
            take_error(
                {.what = log_error::kind::no_response, .message = "log service failed without a reason"});
            return options_.retry * (1.0 + 2.0 * random_.unit());
        });
}

log_evidence log_tail::evidence() const {
    const lock_guard guard(mutex_);
    return evidence_;
}

void log_tail::take_page(const log_page& page, instant sent, std::uint64_t from) {
    const auto applied_before = config_.applied();
    if (!uncovered_since_ && page.first_offset > applied_before) {
        uncovered_since_ = clock_.now();
        scan_from_ = page.first_offset;
        LOG(WARNING) << "log records from " << applied_before << " to " << page.first_offset
                     << " were trimmed unread; looking for a snapshot or a peer";
    }
    if (uncovered_since_) {
        cover(page);
    } else {
        follow(page);
    }
    const auto read_to = page.records.empty() ? from : page.records.back().offset + 1;
    at_end_ = read_to >= page.next_offset;
    const bool is_end_applied = !uncovered_since_ && config_.applied() >= page.next_offset;
    const bool regressed = page.next_offset < applied_before && from >= applied_before;
    const lock_guard guard(mutex_);
    if (regressed && evidence_.regressions++ == 0) {
        LOG(ERROR) << "log ends at " << page.next_offset << " but records up to " << applied_before
                   << " were applied; the state in force is kept";
    }
    evidence_.answered = clock_.now();
    evidence_.end_read = is_end_applied && !regressed ? sent : evidence_.end_read;
    evidence_.first_offset = page.first_offset;
    evidence_.next_offset = page.next_offset;
    evidence_.uncovered = uncovered_since_.has_value();
}

void log_tail::follow(const log_page& page) {
    config_.apply(page.records);
}

void log_tail::cover(const log_page& page) {
    config_.scan(page.records);
    if (!page.records.empty()) {
        scan_from_ = page.records.back().offset + 1;
    }
    scan_from_ = std::max(scan_from_, page.first_offset);
    const auto applied = config_.applied();
    if (applied >= page.first_offset) {
        LOG(INFO) << "state up to log offset " << applied << " was found";
        uncovered_since_.reset();
    } else if (clock_.now() - *uncovered_since_ >= options_.gap_wait) {
        LOG(ERROR) << "log records from " << applied << " to " << page.first_offset
                   << " are lost; continuing without them";
        config_.skip_to(page.first_offset);
        uncovered_since_.reset();
    }
}

void log_tail::take_error(const log_error& it) {
    if (it.what == log_error::kind::malformed) {
        // The answer may have been too large to read, which would otherwise repeat for ever.
        page_records_ = std::max(page_records_ / 2, 1U);
    }
    const lock_guard guard(mutex_);
    if (evidence_.failed_reads++ == 0) {
        LOG(WARNING) << it.message;
    }
    if (it.what == log_error::kind::refused || it.what == log_error::kind::throttled) {
        evidence_.refused = clock_.now();
    }
}

} // namespace berylcrank
