#include "modules/berylcrank_node/control/log_tail.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>

namespace berylcrank {

millis log_tail::step() {
    const auto sent = clock_.now();
    const auto from = gap_since_ ? scan_from_ : config_.applied();
    const auto wait = at_end_ ? options_.poll : millis{0};
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<millis> {
            BOOST_LEAF_AUTO(page, log_.read(from, page_records_, wait));
            page_records_ = std::min(page_records_ * 2, options_.page_records);
            process_page(page, sent, from);
            return millis{0};
        },
        [&](const log_error& it) {
            on_read_error(it);
            return options_.retry * (1.0 + 2.0 * random_.unit());
        },
        [&] {
            on_read_error({.what = log_error::kind::no_response,
                           .message = "log service failed with an unknown error"});
            return options_.retry * (1.0 + 2.0 * random_.unit());
        });
}

log_read_status log_tail::log_status() const {
    const lock_guard guard(mutex_);
    return status_;
}

void log_tail::process_page(const log_page& page, instant sent, std::uint64_t from) {
    const auto applied_before = config_.applied();
    if (!gap_since_ && page.first_offset > applied_before) {
        gap_since_ = clock_.now();
        scan_from_ = page.first_offset;
        LOG(WARNING) << "log records from " << applied_before << " to " << page.first_offset
                     << " were trimmed before they were read; searching for a snapshot or a peer";
    }
    if (gap_since_) {
        search_snapshot(page);
    } else {
        apply_page(page);
    }
    const auto read_to = page.records.empty() ? from : page.records.back().offset + 1;
    at_end_ = read_to >= page.next_offset;
    const bool is_end_applied = !gap_since_ && config_.applied() >= page.next_offset;
    const bool has_regressed = page.next_offset < applied_before && from >= applied_before;
    const lock_guard guard(mutex_);
    if (has_regressed && status_.regressions++ == 0) {
        LOG(ERROR) << "log ends at " << page.next_offset << " but records up to " << applied_before
                   << " were applied; keeping the current state";
    }
    status_.last_response = clock_.now();
    status_.last_end_read = is_end_applied && !has_regressed ? sent : status_.last_end_read;
    status_.first_offset = page.first_offset;
    status_.next_offset = page.next_offset;
    status_.has_unread_gap = gap_since_.has_value();
}

void log_tail::apply_page(const log_page& page) {
    config_.apply(page.records);
}

void log_tail::search_snapshot(const log_page& page) {
    config_.scan(page.records);
    if (!page.records.empty()) {
        scan_from_ = page.records.back().offset + 1;
    }
    scan_from_ = std::max(scan_from_, page.first_offset);
    const auto applied = config_.applied();
    if (applied >= page.first_offset) {
        LOG(INFO) << "state up to log offset " << applied << " was recovered";
        gap_since_.reset();
    } else if (clock_.now() - *gap_since_ >= options_.gap_wait) {
        LOG(ERROR) << "log records from " << applied << " to " << page.first_offset
                   << " are lost; continuing without them";
        config_.skip_to(page.first_offset);
        gap_since_.reset();
    }
}

void log_tail::on_read_error(const log_error& it) {
    if (it.what == log_error::kind::malformed) {
        // The response may have been too large to read; the same request would fail forever.
        page_records_ = std::max(page_records_ / 2, 1U);
    }
    const lock_guard guard(mutex_);
    if (status_.failed_reads++ == 0) {
        LOG(WARNING) << it.message;
    }
    if (it.what == log_error::kind::refused || it.what == log_error::kind::throttled) {
        status_.last_refusal = clock_.now();
    }
}

} // namespace berylcrank
