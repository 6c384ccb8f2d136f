#include "modules/berylcrank_balance/catalog/record_table.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>

namespace berylcrank {

void record_table::merge_record(const state_record& it) {
    auto& stored = records_[it.key];
    const bool is_known = !stored.record.key.empty();
    if (is_known && stored.record.position() >= it.position()) {
        return;
    }
    const auto effect = changed_(it);
    if (effect != record_effect::superseded) {
        stored.record = it;
    } else if (is_known) {
        stored.record.offset = it.offset;
        stored.record.epoch = it.epoch;
    } else {
        stored.record = {.key = it.key, .offset = it.offset, .removed = true, .epoch = it.epoch};
    }
    if (it.epoch != epoch_) {
        stored.changed_at = 0; // kept by another node; its offset belongs to an older epoch
    } else if (effect == record_effect::changed) {
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
        const bool is_before_end = stored.record.epoch == epoch_ && stored.record.offset < end;
        if (!stored.record.removed && is_before_end && !present.contains(key)) {
            removed_keys.push_back(
                {.key = key, .offset = end == 0 ? 0 : end - 1, .removed = true, .epoch = epoch_});
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

bool record_table::keeps(const state_record& restored) const {
    const auto known = records_.find(restored.key);
    return known != records_.end() && keeps_ && keeps_(known->second.record, restored);
}

void record_table::begin_epoch(const epoch_start& start, std::span<const state_record> records,
                               instant confirmed) {
    epoch_ = start.epoch;
    restored_end_ = start.restored_end;
    end_ = 0;
    changed_end_ = 0;
    absl::flat_hash_set<std::string> present;
    for (const auto& it : records) {
        present.insert(it.key);
    }
    std::vector<state_record> missing;
    for (auto& [key, stored] : records_) {
        stored.changed_at = 0; // the offset belongs to an older epoch
        if (!stored.record.removed && !present.contains(key)) {
            const auto offset = start.end == 0 ? 0 : start.end - 1;
            missing.push_back({.key = key, .offset = offset, .removed = true, .epoch = epoch_});
        }
    }
    for (const auto& it : missing) {
        if (!keeps(it)) {
            merge_record(it);
        }
    }
    for (const auto& it : records) {
        const bool may_be_backup = it.epoch == epoch_ && it.offset < restored_end_;
        if (!may_be_backup || !keeps(it)) {
            merge_record(it);
        }
    }
    complete_ = true;
    end_ = start.end;
    confirm(start.end, confirmed);
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
