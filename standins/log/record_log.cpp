#include "standins/log/record_log.h"

#include <algorithm>

namespace berylcrank::standin {

append_outcome record_log::append(std::string data, std::uint64_t& offset) {
    const lock_guard guard(mutex_);
    const auto now = std::chrono::steady_clock::now();
    if (data.size() > limits_.record_bytes) {
        return append_outcome::too_large;
    }
    const auto rate = static_cast<double>(limits_.appends_per_second);
    const std::chrono::duration<double> passed = now - filled_at_;
    tokens_ = std::min(rate, tokens_ + passed.count() * rate);
    filled_at_ = now;
    if (tokens_ < 1) {
        return append_outcome::throttled;
    }
    tokens_ -= 1;
    offset = first_ + records_.size();
    records_.push_back({now, std::move(data)});
    apply_retention();
    changed_.notify_all();
    return append_outcome::appended;
}

record_log::page record_log::read(std::uint64_t from, std::uint64_t max, std::chrono::milliseconds wait) {
    const lock_guard guard(mutex_);
    apply_retention();
    changed_.wait_for(mutex_, wait, [&] { return stopped_ || first_ + records_.size() > from; });
    apply_retention();
    page out{.first = first_, .next = first_ + records_.size()};
    std::size_t bytes = 0;
    for (auto at = std::max(from, first_); at < out.next && out.records.size() < max; ++at) {
        const auto& data = records_[at - first_].data;
        if (!out.records.empty() && bytes + data.size() > limits_.page_bytes) {
            break;
        }
        bytes += data.size();
        out.records.emplace_back(at, data);
    }
    return out;
}

void record_log::trim(std::uint64_t offset) {
    const lock_guard guard(mutex_);
    while (first_ < offset && !records_.empty()) {
        records_.pop_front();
        ++first_;
    }
}

void record_log::set_limits(const log_limits& it) {
    const lock_guard guard(mutex_);
    limits_ = it;
}

log_limits record_log::limits() {
    const lock_guard guard(mutex_);
    return limits_;
}

void record_log::stop() {
    const lock_guard guard(mutex_);
    stopped_ = true;
    changed_.notify_all();
}

void record_log::apply_retention() {
    const auto oldest = std::chrono::steady_clock::now() - std::chrono::milliseconds(limits_.retention_ms);
    while (!records_.empty() && (records_.size() > limits_.retention_count || records_.front().at < oldest)) {
        records_.pop_front();
        ++first_;
    }
}

} // namespace berylcrank::standin
