#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <array>
#include <cstdint>

namespace berylcrank {

/** Limits of the retries and hedges of one service, from all nodes together. */
struct retry_budget_limits {
    millis window{10000}; ///< Length of the sliding window.
    double ratio{0.2};    ///< Retries allowed per first attempt within the window.
    double burst{50};     ///< Retries allowed in addition per window, for all nodes together.
};

/** This node's share of the retry budget of one service in any sliding window. Hedges count as retries.

    All nodes together stay within the limits without coordination. Each node applies the ratio to its own
    requests only and takes an equal share of the burst, computed from the largest number of nodes seen.
    @see retry_budget_limits
*/
class windowed_retry_budget {
public:
    explicit windowed_retry_budget(retry_budget_limits limits) : limits_(limits) {}

    /** Replaces the limits. */
    void set_limits(retry_budget_limits limits) { limits_ = limits; }

    /** Counts a first attempt. */
    void record_request(instant now);

    /** Takes one retry from the budget; false if the budget is exhausted. `nodes` is the largest number of
        nodes that may send requests. */
    bool take(std::size_t nodes, instant now);

private:
    static constexpr std::size_t bucket_count = 24;
    struct bucket {
        std::int64_t index{-1};
        std::uint32_t requests{0};
        std::uint32_t retries{0};
    };

    [[nodiscard]] std::int64_t bucket_index(instant now) const;
    bucket& current_bucket(instant now);

    retry_budget_limits limits_;
    std::array<bucket, bucket_count> buckets_;
};

} // namespace berylcrank
