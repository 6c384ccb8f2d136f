#pragma once

#include "modules/berylcrank_core/identity/incarnation.h"
#include "modules/berylcrank_core/time/millis.h"
#include "modules/berylcrank_suspect/table/suspect_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace berylcrank {

/** State of a node as reported by the sender of a gossip message. @see gossip_message */
struct peer_info {
    std::string vm;
    incarnation run; ///< The run of the node process on that vm.
    std::string failure_domain;
    std::string http_address;
    std::string rpc_address;
    bool leaving{false};
    bool starting{false}; ///< The run has not been ready to serve yet.
    /** Time since the sender last received a heartbeat of the node, directly or through other nodes; nothing
        if it never did. */
    std::optional<millis> heartbeat_age;

    bool operator==(const peer_info&) const = default;
};

/** Report of a permit holder that an upstream incarnation is warm or cold. @see gossip_message */
struct warm_report {
    std::string upstream;
    std::string upstream_incarnation;
    bool warm{false};
    std::uint64_t sequence{0}; ///< Increases with each report of the same holder.
    incarnation holder;

    bool operator==(const warm_report&) const = default;
};

/** Report of an upstream connection that was lost with a suspect request in flight. @see gossip_message */
struct crash_report {
    std::uint64_t fingerprint{0}; ///< Hash of method, path and body.
    std::string upstream;
    std::string upstream_incarnation;
    std::uint32_t in_flight{1}; ///< Requests that the reporter had in flight at the upstream.
    incarnation reporter;

    bool operator==(const crash_report&) const = default;
};

/** A gossip message. The response to one has the same form. Mirrors `Gossip` in schema/peer.capnp. */
struct gossip_message {
    peer_info sender;
    std::uint64_t applied_offset{0}; ///< Log offset up to which the sender has applied the configuration.
    std::uint64_t state_digest{0};   ///< Digest of the sender's configuration at that offset.
    /** Time since the sender last confirmed that it had read the log to its end; nothing if it never did. */
    std::optional<millis> freshness_age;
    bool log_reachable{false};
    std::vector<peer_info> peers;
    std::vector<warm_report> warm;
    std::vector<crash_report> crashes;
    std::vector<suspect_report> suspects; ///< Instants are relative to the message; its time is instant{}.

    bool operator==(const gossip_message&) const = default;
};

} // namespace berylcrank
