#pragma once

#include "modules/berylcrank_config/state/record_codec.h"

#include <optional>
#include <string>
#include <vector>

namespace berylcrank {

/** A complete snapshot on the log: every part has been read. @see snapshot_collector */
struct logged_snapshot {
    std::uint64_t applied{0};      ///< One past the largest offset that it includes.
    std::uint64_t first_offset{0}; ///< Log offset of the first part that was read.
    std::uint64_t last_offset{0};  ///< Log offset of the last part.
};

/** Reassembles snapshots from their parts, which may be interleaved with parts of other snapshots.

    Keeps at most 8 incomplete snapshots and 64 MiB. Above that it evicts the least recently extended one.
*/
class snapshot_collector {
public:
    /** Adds a part that was read at `offset`. Without `keep_content` only tracks which parts were read.
        @returns The encoded content if this part completes a snapshot and the content of every part was kept.
    */
    std::optional<std::string> add(const snapshot_part& part, std::uint64_t offset, bool keep_content);

    /** The complete snapshot with the largest `applied`; empty if there is none. */
    [[nodiscard]] const std::optional<logged_snapshot>& newest() const { return newest_; }

private:
    struct partial_snapshot {
        std::uint64_t id{0};
        std::uint64_t applied{0};
        std::uint64_t first_offset{0};
        std::uint64_t last_offset{0};
        std::vector<bool> has_part;
        std::vector<std::string> contents;
        std::size_t missing_parts{0};
        std::size_t bytes{0};
        bool has_content{true};
    };

    partial_snapshot& find_or_add(const snapshot_part& part, std::uint64_t offset);
    void evict_oldest(std::size_t added_bytes);
    std::optional<std::string> complete(const partial_snapshot& snapshot);

    std::vector<partial_snapshot> partial_snapshots_;
    std::optional<logged_snapshot> newest_;
};

} // namespace berylcrank
