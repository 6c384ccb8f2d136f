#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace berylcrank {

/** Inputs for the decision whether the configuration of a node is current. All instants are readings of the
    clock of this node. */
struct freshness_inputs {
    instant now;
    millis isolation_limit{2500};         ///< Maximum age of evidence that counts as recent.
    std::optional<instant> log_end_read;  ///< When the last read that reached the end of the log was sent.
    std::optional<instant> log_responded; ///< When the log last returned records, up to its end or not.
    std::optional<instant> log_refused;   ///< When the log last refused a connection or responded with 5xx.
    /** The latest instant at which a peer had read the end of the log, if this node has reached the applied
        offset of that peer: the arrival time of its message minus the age in the message. */
    std::optional<instant> peer_log_end_confirmed;
    std::uint32_t other_members{0};     ///< Known members, without this node.
    std::uint32_t reachable_members{0}; ///< Other members with a heartbeat within `isolation_limit`.
    bool was_stopped{false};            ///< `stops_new_work` of the previous decision.
};

/** Freshness of the configuration of a node. @see decide_freshness */
enum class freshness : std::uint8_t {
    fresh,       ///< The configuration is current.
    log_down,    ///< The log is down for all or most nodes; the node continues with its current state.
    catching_up, ///< The log responds but its end is not reached yet; the previous decision stays.
    isolated,    ///< No contact to the log and to most members; the node accepts no new requests.
};

/** Freshness of the configuration and whether the node must stop accepting new requests. */
struct freshness_decision {
    freshness state{freshness::isolated};
    bool stops_new_work{true};

    bool operator==(const freshness_decision&) const = default;
};

/** Decides whether a node must stop accepting new requests (docs/design.md, section 4). */
freshness_decision decide_freshness(const freshness_inputs& inputs);

/** "fresh", "log-down", "catching-up" or "isolated". */
std::string_view to_string(freshness state);

} // namespace berylcrank
