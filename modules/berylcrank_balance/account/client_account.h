#pragma once

#include "modules/berylcrank_balance/usage/usage_limits.h"

#include <optional>
#include <string>
#include <vector>

namespace berylcrank {

/** An account of callers. Its requests carry one of its keys. */
struct client_account {
    std::string name;
    std::vector<std::string> keys;         ///< Secret; must not be logged.
    std::optional<int> priority;           ///< Takes precedence over that of the route; 0 is the most urgent.
    std::optional<double> rate_per_second; ///< Requests per second over all nodes; 0 or nothing for no cap.
    std::optional<double> burst;           ///< Requests above the rate at once.

    /** Returns the usage cap, or nothing if the account has none. */
    [[nodiscard]] std::optional<usage_limits> cap() const {
        const usage_limits it{.rate_per_second = rate_per_second.value_or(0), .burst = burst.value_or(0)};
        return it.rate_per_second > 0 ? std::optional(it) : std::nullopt;
    }
};

} // namespace berylcrank
