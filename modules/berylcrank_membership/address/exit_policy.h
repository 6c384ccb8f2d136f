#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <cstddef>
#include <optional>

namespace berylcrank {

/** Decides when a leaving node may exit. Not thread-safe; owned by the control thread.

    Until another node is notified that this node leaves, it may give this node's address to a caller, who may
    use it for one address TTL. The wait of one TTL therefore starts when all other members are notified, or
    `notify_timeout` after the start if that is earlier.
    @see address_selector
*/
class exit_policy {
public:
    struct options {
        millis address_ttl{5000};    ///< Longest address TTL that any node gives to callers.
        millis notify_timeout{3000}; ///< Time after which all members count as notified.
        millis idle{200};            ///< Time without work in flight before the exit.
    };

    explicit exit_policy(const options& it) : options_(it) {}

    /** Starts leaving. Later calls have no effect. */
    void start(instant now);

    /** Updates the state and returns true if the node may exit.

        @param unnotified Other members that have not yet acknowledged that this node leaves.
        @param in_flight  Requests, relays and unfinished hand-overs of this node. */
    bool may_exit(std::size_t unnotified, std::size_t in_flight, instant now);

    /** Returns true after `start`. */
    [[nodiscard]] bool is_leaving() const { return started_at_.has_value(); }

private:
    const options options_;
    std::optional<instant> started_at_;
    std::optional<instant> notified_at_;
    std::optional<instant> idle_since_;
};

} // namespace berylcrank
