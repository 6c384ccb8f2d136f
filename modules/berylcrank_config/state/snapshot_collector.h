#pragma once

#include "modules/berylcrank_config/state/record_codec.h"

#include <optional>
#include <string>
#include <vector>

namespace berylcrank {

/** A snapshot of which every part was seen on the log. @see snapshot_collector */
struct logged_snapshot {
    std::uint64_t applied{0};      ///< One past the largest offset that it includes.
    std::uint64_t first_offset{0}; ///< Where its first seen part is on the log.
    std::uint64_t last_offset{0};  ///< Where its last part is on the log.
};

/** Puts snapshots together from their parts, which may be mixed with parts of other snapshots.

    Keeps at most 8 incomplete snapshots and 64 MiB; the one that was touched longest ago goes first.
*/
class snapshot_collector {
public:
    /** Takes a part read at `offset`; returns the encoded content if this completes a snapshot whose content
       was kept throughout. Without `keep_content` only completeness is tracked. */
    std::optional<std::string> add(const snapshot_part& part, std::uint64_t offset, bool keep_content);

    /** The complete snapshot that includes most; nothing if none was seen. */
    [[nodiscard]] const std::optional<logged_snapshot>& newest() const { return newest_; }

private:
    struct assembly {
        std::uint64_t id{0};
        std::uint64_t applied{0};
        std::uint64_t first_offset{0};
        std::uint64_t last_offset{0};
        std::vector<bool> has_part;
        std::vector<std::string> contents;
        std::size_t missing{0};
        std::size_t bytes{0};
        bool has_content{true};
    };

    assembly& find_or_add(const snapshot_part& part, std::uint64_t offset);
    void make_room(std::size_t bytes);
    std::optional<std::string> complete(const assembly& it);

    std::vector<assembly> assemblies_;
    std::optional<logged_snapshot> newest_;
};

} // namespace berylcrank
