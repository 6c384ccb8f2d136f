#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>
#include <optional>
#include <string>

namespace berylcrank {

/** Asks other nodes for configuration state. @see config_follower */
class state_peers {
public:
    state_peers() = default;
    state_peers(const state_peers&) = delete;
    state_peers& operator=(const state_peers&) = delete;
    virtual ~state_peers() = default;

    /** Returns the answer of one reachable peer to `pull_state(from_offset)`, preferably one that applied
       most; nothing if none answers within `limit`. May block that long; called on one control thread only.
     */
    virtual std::optional<std::string> pull_delta(std::uint64_t from_offset, millis limit) = 0;
};

} // namespace berylcrank
