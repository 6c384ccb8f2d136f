#include "modules/berylcrank_balance/catalog/record_table.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace berylcrank {

void record_table::merge_record(const state_record& it) {
    auto& stored = records_[it.key];
    if (!stored.record.key.empty() && stored.record.offset >= it.offset) {
        return;
    }
    stored.record = it;
    if (changed_(it)) {
        stored.changed_at = it.offset;
        changed_end_ = std::max(changed_end_, it.offset + 1);
    }
}

void record_table::merge(std::span<const state_record> records, std::uint64_t end, instant confirmed) {
    for (const auto& it : records) {
        if (!complete_ || it.offset >= end_ || records_.contains(it.key)) {
            merge_record(it);
        }
    }
    complete_ = true;
    end_ = std::max(end_, end);
    confirm(end, confirmed);
}

void record_table::merge_snapshot(std::span<const state_record> records, std::uint64_t end,
                                  instant confirmed) {
    absl::flat_hash_set<std::string> present;
    for (const auto& it : records) {
        present.insert(it.key);
    }
    std::vector<state_record> removed_keys;
    for (const auto& [key, stored] : records_) {
        if (!stored.record.removed && stored.record.offset < end && !present.contains(key)) {
            removed_keys.push_back({.key = key, .offset = end == 0 ? 0 : end - 1, .removed = true});
        }
    }
    for (auto& it : removed_keys) {
        it.offset = std::max(it.offset, records_[it.key].record.offset + 1);
    }
    for (const auto& it : removed_keys) {
        merge_record(it);
    }
    merge(records, end, confirmed);
}

void record_table::confirm(std::uint64_t end, instant when) {
    if (complete_ && end_ >= end) {
        confirmed_ = std::max(confirmed_, when);
    }
}

bool record_table::extend(std::uint64_t changed, std::uint64_t end, instant confirmed) {
    if (!complete_ || end_ < changed) {
        return false;
    }
    end_ = std::max(end_, end);
    confirm(end, confirmed);
    return true;
}

std::vector<state_record> record_table::since(std::uint64_t from) const {
    std::vector<state_record> result;
    for (const auto& [key, it] : records_) {
        if (it.changed_at >= from) {
            result.push_back(it.record);
        }
    }
    std::sort(result.begin(), result.end(), [](const auto& a, const auto& b) { return a.offset < b.offset; });
    return result;
}

} // namespace berylcrank
