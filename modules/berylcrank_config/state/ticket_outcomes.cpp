#include "modules/berylcrank_config/state/ticket_outcomes.h"

#include "modules/berylcrank_config/ticket/canonical_bytes.h"

#include <algorithm>
#include <iterator>

namespace berylcrank {

namespace {

/** Limits the memory for records that reuse one number with different content. */
constexpr std::size_t max_outcomes_per_number = 4;

bool is_before(const ticket_outcome& a, const ticket_outcome& b) {
    if (a.offset != b.offset) {
        return a.offset < b.offset;
    }
    if (a.digest != b.digest) {
        return a.digest < b.digest;
    }
    return a.accepted != b.accepted ? a.accepted : a.reason < b.reason;
}

std::uint64_t hash_of(const ticket_outcome& outcome) {
    return canonical_bytes()
        .add(outcome.number)
        .add(outcome.offset)
        .add(outcome.digest)
        .add(std::uint64_t{outcome.accepted})
        .digest();
}

} // namespace

std::vector<ticket_outcome> ticket_outcomes::find(std::uint64_t number) const {
    const auto it = by_number_.find(number);
    return it == by_number_.end() ? std::vector<ticket_outcome>{} : it->second;
}

void ticket_outcomes::add(const ticket_outcome& outcome) {
    insert(outcome);
    trim();
}

void ticket_outcomes::merge(const ticket_outcomes& other, const coverage& own_coverage,
                            const coverage& other_coverage) {
    raise_floor(other.floor_);
    std::vector<ticket_outcome> all;
    for (const auto& [number, list] : by_number_) {
        std::copy_if(list.begin(), list.end(), std::back_inserter(all), [&](const auto& outcome) {
            return !other_coverage.in_contiguous_range(outcome.offset) || other.contains(outcome);
        });
    }
    for (const auto& [number, list] : other.by_number_) {
        std::copy_if(list.begin(), list.end(), std::back_inserter(all), [&](const auto& outcome) {
            return !own_coverage.in_contiguous_range(outcome.offset) || contains(outcome);
        });
    }
    by_number_.clear();
    digest_ = 0;
    for (const auto& outcome : all) {
        insert(outcome);
    }
    trim();
}

void ticket_outcomes::raise_floor(std::uint64_t floor) {
    floor_ = std::max(floor_, floor);
    while (!by_number_.empty() && by_number_.begin()->first <= floor_) {
        for (const auto& outcome : by_number_.begin()->second) {
            digest_ -= hash_of(outcome);
        }
        by_number_.erase(by_number_.begin());
    }
}

std::vector<ticket_outcome> ticket_outcomes::recent(std::size_t limit) const {
    std::vector<ticket_outcome> out;
    for (auto it = by_number_.rbegin(); it != by_number_.rend() && out.size() < limit; ++it) {
        const auto n = std::min(limit - out.size(), it->second.size());
        out.insert(out.end(), it->second.begin(), it->second.begin() + static_cast<std::ptrdiff_t>(n));
    }
    return out;
}

std::vector<ticket_outcome> ticket_outcomes::since(std::uint64_t from) const {
    std::vector<ticket_outcome> out;
    for (const auto& [number, list] : by_number_) {
        std::copy_if(list.begin(), list.end(), std::back_inserter(out),
                     [&](const auto& outcome) { return outcome.offset >= from; });
    }
    return out;
}

bool ticket_outcomes::contains(const ticket_outcome& outcome) const {
    const auto at = by_number_.find(outcome.number);
    return at != by_number_.end() &&
           std::find(at->second.begin(), at->second.end(), outcome) != at->second.end();
}

void ticket_outcomes::insert(const ticket_outcome& outcome) {
    if (outcome.number <= floor_) {
        return;
    }
    auto& list = by_number_[outcome.number];
    const auto same =
        std::find_if(list.begin(), list.end(), [&](const auto& a) { return a.digest == outcome.digest; });
    if (same != list.end()) {
        if (!is_before(outcome, *same)) {
            return;
        }
        digest_ -= hash_of(*same);
        list.erase(same);
    }
    list.insert(std::upper_bound(list.begin(), list.end(), outcome, is_before), outcome);
    digest_ += hash_of(outcome);
    if (list.size() > max_outcomes_per_number) {
        digest_ -= hash_of(list.back());
        list.pop_back();
    }
}

void ticket_outcomes::trim() {
    if (by_number_.size() > max_numbers_) {
        const auto first_retained = std::prev(by_number_.end(), static_cast<std::ptrdiff_t>(max_numbers_));
        raise_floor(std::prev(first_retained)->first);
    }
}

} // namespace berylcrank
