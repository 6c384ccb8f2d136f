#pragma once

#include "modules/berylcrank_config/state/record_codec.h"
#include "modules/berylcrank_config/state/state_content.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Largest log record of a snapshot part. */
inline constexpr std::size_t snapshot_part_bytes = 256U << 10U;

/** The whole content. @see decode_content */
std::string encode_content(const state_content& it);

/** What a node lacks that includes all offsets below `from`; the whole content if removals that it needs were
   dropped or this state has a gap. @see decode_content */
std::string encode_delta(const state_content& it, std::uint64_t from);

/** True if `encode_delta` sends the whole content. */
bool needs_full_state(const state_content& it, std::uint64_t from);

/** Reads bytes of `encode_content` or `encode_delta`; nothing if they are malformed. */
std::optional<state_content> decode_content(std::string_view data);

/** Log records of a snapshot: encoded content cut into parts of at most `snapshot_part_bytes`. */
std::vector<std::string> split_snapshot(std::string_view encoded, std::uint64_t applied, std::uint64_t id);

} // namespace berylcrank
