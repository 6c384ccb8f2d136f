#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace berylcrank {

/** What a node knows about how current its configuration is. All instants are on the node's clock. */
struct freshness_inputs {
    instant now;
    millis isolation_limit{2500};
    std::optional<instant> log_end_read;  ///< When the last read that reached the log's end was sent.
    std::optional<instant> log_responded; ///< When the log last answered with records, at its end or not.
    std::optional<instant> log_refused;   ///< When the log last refused a connection or answered 5xx.
    /** The latest instant at which a peer, whose applied offset this node has reached, had read the log's
       end: the time of its message less the age that it stated. */
    std::optional<instant> peer_log_end_confirmed;
    std::uint32_t other_members{0};     ///< Known members but this node.
    std::uint32_t reachable_members{0}; ///< Those heard within `isolation_limit`.
    bool was_stopped{false};            ///< The previous decision.
};

/** Whether a node may take new work. @see decide_freshness */
enum class freshness : std::uint8_t {
    fresh,       ///< The configuration is current.
    log_down,    ///< The log is down for all or most; service continues with the state in force.
    catching_up, ///< The log answers, its end is not reached yet; the previous decision stands.
    isolated,    ///< Cut off from the log and most members: no new work.
};

/** A decision with what follows from it. */
struct freshness_decision {
    freshness state{freshness::isolated};
    bool stops_new_work{true};

    bool operator==(const freshness_decision&) const = default;
};

/** Decides whether a node must stop new work (docs/design.md, section 4). */
freshness_decision decide_freshness(const freshness_inputs& it);

/** "fresh", "log-down", "catching-up" or "isolated". */
std::string_view to_string(freshness it);

} // namespace berylcrank
