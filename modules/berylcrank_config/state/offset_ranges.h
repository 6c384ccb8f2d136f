#pragma once

#include <cstdint>
#include <vector>

namespace berylcrank {

/** Offsets from `first` up to, not including, `end`. @see offset_ranges */
struct offset_range {
    std::uint64_t first{0};
    std::uint64_t end{0};

    bool operator==(const offset_range&) const = default;
};

/** The set of log offsets that a configuration state includes: sorted ranges that do not touch. */
class offset_ranges {
public:
    /** Adds the offsets from `first` up to `end`. */
    void add(std::uint64_t first, std::uint64_t end);

    /** Adds all offsets of `other`. */
    void add(const offset_ranges& other);

    [[nodiscard]] bool contains(std::uint64_t offset) const;

    /** True if all offsets of `other` are in this set. */
    [[nodiscard]] bool contains(const offset_ranges& other) const;

    /** One past the largest offset; 0 if empty. */
    [[nodiscard]] std::uint64_t end() const { return list_.empty() ? 0 : list_.back().end; }

    /** True if an offset below `end()` is missing. */
    [[nodiscard]] bool has_gap() const {
        return list_.size() > 1 || (list_.size() == 1 && list_[0].first != 0);
    }

    [[nodiscard]] const std::vector<offset_range>& list() const { return list_; }

    bool operator==(const offset_ranges&) const = default;

private:
    std::vector<offset_range> list_;
};

} // namespace berylcrank
