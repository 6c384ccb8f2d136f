#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <cstddef>
#include <optional>

namespace berylcrank {

/** Decides when a leaving node may exit. Not thread-safe; owned by the control thread.

    A caller may have got this node's address from any node just before that node learned of the stop, and may
    use it for one keep time. The wait is therefore counted from the moment at which all other members were
    told, at the latest from `tell_limit` after the start.
    @see address_selector
*/
class exit_policy {
public:
    struct options {
        millis address_ttl{5000}; ///< Longest keep time given out by any node.
        millis tell_limit{3000};  ///< Time after which members that were not told count as told.
        millis idle{200};         ///< Time without a request in flight before the exit.
    };

    explicit exit_policy(const options& it) : options_(it) {}

    /** Starts leaving; later calls change nothing. */
    void start(instant now);

    /** Takes how many other members have not yet acknowledged the news of leaving, and the requests, relays
        and unfinished hand-overs of this node. @return True if the node may exit. */
    bool may_exit(std::size_t untold, std::size_t in_flight, instant now);

    /** True after `start`. */
    [[nodiscard]] bool is_leaving() const { return started_.has_value(); }

private:
    const options options_;
    std::optional<instant> started_;
    std::optional<instant> told_;
    std::optional<instant> idle_since_;
};

} // namespace berylcrank
