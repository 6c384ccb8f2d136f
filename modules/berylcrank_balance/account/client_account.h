#pragma once

#include <optional>
#include <string>
#include <vector>

namespace berylcrank {

/** An account of callers. Its requests carry one of its keys. */
struct client_account {
    std::string name;
    std::vector<std::string> keys;         ///< Secret; must not be logged.
    std::optional<int> priority;           ///< Takes precedence over that of the route; 0 is the most urgent.
    std::optional<double> rate_per_second; ///< Requests per second over all nodes; not enforced yet.
    std::optional<double> burst;           ///< Requests above the rate at once; not enforced yet.
};

} // namespace berylcrank
