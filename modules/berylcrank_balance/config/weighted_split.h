#pragma once

#include "modules/berylcrank_balance/config/deployment_config.h"

#include <absl/container/flat_hash_map.h>
#include <span>

namespace berylcrank {

/** Distributes the requests of split routes by smooth weighted round robin, which keeps the proportions in
    every short run of requests. The sequence of a route starts anew when a configuration changes its services
    or their proportions.

    @see traffic_part
*/
class weighted_split {
public:
    /** `phase` in [0, 1) shifts the sequence, so that nodes do not pick the same part at the same time. */
    explicit weighted_split(double phase) : phase_(phase) {}

    /** Returns the part that receives the next request of the route `name`; `parts` must not be empty. A part
        of weight 0 receives none, unless all weights are 0: the parts then count as equal. */
    const traffic_part& pick(const std::string& name, std::span<const traffic_part> parts);

private:
    /** Share of one part of a route. */
    struct share {
        std::string service;
        double fraction{0}; ///< Of the route's requests.
        double credit{0};   ///< Requests that the part has received too few.
    };
    using sequence = std::vector<share>;

    /** Returns the sequence of a route; a new one if its services or their proportions have changed. */
    sequence& sequence_of(const std::string& name, std::span<const traffic_part> parts);

    double phase_;
    absl::flat_hash_map<std::string, sequence> sequences_; // by route
};

} // namespace berylcrank
