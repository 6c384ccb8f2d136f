#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>
#include <optional>
#include <string>

namespace berylcrank {

/** Pulls configuration state from other nodes. @see config_follower */
class peer_state_source {
public:
    peer_state_source() = default;
    peer_state_source(const peer_state_source&) = delete;
    peer_state_source& operator=(const peer_state_source&) = delete;
    virtual ~peer_state_source() = default;

    /** Returns the response of one reachable peer to `pull_state(from_offset)`, preferably of one that
        applied most; nothing if no peer responds within `limit`. May block that long; called on one control
        thread only. */
    virtual std::optional<std::string> pull_delta(std::uint64_t from_offset, millis limit) = 0;
};

} // namespace berylcrank
