#pragma once

#include "modules/berylcrank_core/time/instant.h"
#include "modules/berylcrank_membership/message/gossip_message.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylcrank {

/** Tracks at one node which incarnations of an upstream are warm, and the node's connections to the
    upstream. Not thread-safe; guarded by its `cold_gate`.

    The warm state belongs to an incarnation. A connection belongs to the incarnation named by its last
    response. So the state of one process is never applied to another.
*/
class upstream_warm_state {
public:
    /** True if a verified connection is idle and not reserved. */
    [[nodiscard]] bool has_idle_verified() const;

    /** Reserves an idle verified connection for an attempt. */
    void reserve() { ++reserved_; }
    void release_reservation() { reserved_ -= reserved_ > 0 ? 1 : 0; }

    /** Identifies a connection: later connections reuse the port, but not the serial. */
    struct connection_id {
        std::uint16_t port{0};
        std::uint64_t serial{0};
    };

    /** Records that an attempt is about to use `port`. A new connection replaces the state of the port. */
    connection_id use_port(std::uint16_t port, bool is_new, bool had_reservation);

    /** True if the connection is verified. */
    [[nodiscard]] bool is_verified(const connection_id& id) const;

    /** Marks the connection as in use or idle. */
    void set_busy(const connection_id& id, bool is_busy);

    /** Records the incarnation named by a response on the connection. */
    void set_incarnation(const connection_id& id, std::string_view upstream_incarnation, bool reported_cold);

    /** Records that the connection is closed. */
    void close(const connection_id& id);

    /** Applies a report of the current permit holder. @return True if it is newer than the known one. */
    bool apply(const warm_report& report, instant now);

    /** True if the incarnation is known to be warm and its last response to this node did not report cold. */
    [[nodiscard]] bool is_warm(std::string_view upstream_incarnation) const;

    /** The latest report of a holder, for gossip; nothing if there is none. */
    [[nodiscard]] std::optional<warm_report> latest_report() const;

    /** Time when `latest_report` was received. */
    [[nodiscard]] instant latest_report_at() const { return latest_report_at_; }

    /** Incarnations that are known to be warm. */
    [[nodiscard]] std::vector<std::string> warm_incarnations() const;

    /** Number of verified connections. */
    [[nodiscard]] std::size_t verified_connections() const;

private:
    struct connection {
        std::uint64_t serial{0};
        std::string upstream_incarnation; // Empty until a response names one.
        bool is_busy{false};
        bool may_be_closed{false}; // The pool opened another connection although this one seemed idle.
        bool is_mixed{false};      // Responses named several incarnations: not bound to one process.
    };
    struct incarnation_state {
        std::string upstream_incarnation;
        bool warm{false};          // As reported by the holder.
        bool reported_cold{false}; // By the last response to this node.
        std::uint64_t sequence{0};
        incarnation holder;
    };

    [[nodiscard]] const incarnation_state* find(std::string_view upstream_incarnation) const;
    incarnation_state& find_or_add(std::string_view upstream_incarnation);
    [[nodiscard]] bool is_bound_to_warm(const connection& entry) const;
    connection* find(const connection_id& id);

    absl::flat_hash_map<std::uint16_t, connection> connections_; // By local port.
    std::vector<incarnation_state> incarnations_;
    std::string latest_incarnation_; // Named by the latest response; its state is never evicted.
    std::optional<warm_report> latest_report_;
    instant latest_report_at_;
    std::size_t reserved_{0};
    std::uint64_t last_serial_{0};
};

} // namespace berylcrank
