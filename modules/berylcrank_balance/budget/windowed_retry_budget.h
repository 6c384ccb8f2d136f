#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <array>
#include <cstdint>

namespace berylcrank {

/** Bounds of the requests that are sent to another upstream. */
struct retry_budget_limits {
    millis window{10000};
    double ratio{0.2}; ///< Of the requests of the window.
    double burst{50};  ///< Besides, for all nodes together.
};

/** This node's share of the resends that one service bears in any window.

    All nodes together stay within the limits without talking to each other: each spends the ratio on its own
    requests only and an equal share of the burst, computed from the largest number of nodes seen.
*/
class windowed_retry_budget {
public:
    explicit windowed_retry_budget(retry_budget_limits limits) : limits_(limits) {}

    void set_limits(retry_budget_limits limits) { limits_ = limits; }

    /** Counts a first send. */
    void record_request(instant now);

    /** Takes one resend if the budget allows it. `nodes` is the largest number of nodes that may be sending.
     */
    bool take(std::size_t nodes, instant now);

private:
    static constexpr std::size_t bucket_count = 24;
    struct bucket {
        std::int64_t slot{-1};
        std::uint32_t requests{0};
        std::uint32_t resends{0};
    };

    [[nodiscard]] std::int64_t slot_of(instant now) const;
    bucket& current(instant now);

    retry_budget_limits limits_;
    std::array<bucket, bucket_count> buckets_;
};

} // namespace berylcrank
