#pragma once

#include "modules/berylcrank_core/identity/incarnation.h"
#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace berylcrank {

/** What one node tells about a node. @see gossip_message */
struct peer_info {
    std::string vm;
    incarnation run;
    std::string failure_domain;
    std::string http_address;
    std::string rpc_address;
    bool leaving{false};
    bool starting{false};                ///< The run has not been ready to serve yet.
    std::optional<millis> heartbeat_age; ///< Age of the last news at the sender; none: never heard.

    bool operator==(const peer_info&) const = default;
};

/** A statement of a permit holder about an upstream. @see gossip_message */
struct warm_report {
    std::string upstream;
    std::string upstream_incarnation;
    bool warm{false};
    std::uint64_t sequence{0}; ///< Grows with each statement of the same holder.
    incarnation holder;

    bool operator==(const warm_report&) const = default;
};

/** A lost upstream connection with a suspect request in flight. @see gossip_message */
struct crash_report {
    std::uint64_t fingerprint{0}; ///< Hash of method, path and body.
    std::string upstream;
    std::string upstream_incarnation;
    std::uint32_t in_flight{1}; ///< Requests that the reporter had in flight there.
    incarnation reporter;

    bool operator==(const crash_report&) const = default;
};

/** One gossip message; also its reply. Mirrors `Gossip` in schema/peer.capnp. */
struct gossip_message {
    peer_info sender;
    std::uint64_t applied_offset{0};
    std::uint64_t state_digest{0};
    std::optional<millis>
        freshness_age; ///< Age of the sender's last proof that it had read the end of the log.
    bool log_reachable{false};
    std::vector<peer_info> peers;
    std::vector<warm_report> warm;
    std::vector<crash_report> crashes;

    bool operator==(const gossip_message&) const = default;
};

} // namespace berylcrank
