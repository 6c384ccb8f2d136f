#pragma once

#include "modules/berylcrank_config/state/record_codec.h"
#include "modules/berylcrank_config/state/state_content.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Maximum size of the log record of a snapshot part, in bytes. */
inline constexpr std::size_t snapshot_part_bytes = 256U << 10U;

/** Encodes the full state. @see decode_content */
std::string encode_content(const state_content& content);

/** Encodes the changes at offsets from `from` on, for a node that includes all earlier ones. Encodes the full
    state if `needs_full_state`. @see decode_content */
std::string encode_delta(const state_content& content, std::uint64_t from);

/** True if `encode_delta` encodes the full state: `from` is 0 or past the end, removals that the receiver
    needs may have been dropped, or this state has a gap. */
bool needs_full_state(const state_content& content, std::uint64_t from);

/** Decodes the output of `encode_content` or `encode_delta`; empty if the data is malformed. */
std::optional<state_content> decode_content(std::string_view data);

/** Splits encoded content into the log records of a snapshot, each of at most `snapshot_part_bytes`. */
std::vector<std::string> split_snapshot(std::string_view encoded, std::uint64_t applied, std::uint64_t id);

} // namespace berylcrank
