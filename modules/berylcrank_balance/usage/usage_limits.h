#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <cstdint>
#include <string_view>

namespace berylcrank {

/** Usage cap of a client account over all nodes together. */
struct usage_limits {
    double rate_per_second{0}; ///< Requests per second; 0 for no cap.
    double burst{0};           ///< Requests above the rate at once.

    bool operator==(const usage_limits&) const = default;
};

/** How far the requests of an account that run may exceed its cap in any sliding window. The bound is
    (rate x window + burst) x (1 + overage) + slack. */
struct usage_tolerance {
    millis window{5000};
    double overage{0.1};
    double slack{20}; ///< Requests.

    /** Time for which a token is valid. A window may contain the runs of tokens that were issued before it;
        the rest of the tolerated overage is for requests that take long to reach their upstream. */
    [[nodiscard]] millis token_lifetime() const { return window * (overage * 0.6); }

    /** Requests that are added to the burst of each account, so that an account of few requests per second
        can send two at once. The rest of the slack remains for requests that arrive late. */
    [[nodiscard]] double extra_burst() const { return slack * 0.4; }
};

/** Hash of an account's name, which identifies the account in messages between nodes. */
std::uint64_t account_number(std::string_view name);

/** Number of groups into which accounts are divided by their hash. A node holds the caps of whole groups. */
inline constexpr std::size_t usage_group_count = 16;

/** Returns the group of an account. */
constexpr std::size_t usage_group(std::uint64_t account) {
    return account % usage_group_count;
}

} // namespace berylcrank
