#pragma once

#include "modules/berylcrank_balance/config/deployment_config.h"

#include <absl/container/flat_hash_map.h>
#include <span>

namespace berylcrank {

/** Distributes the requests of split routes by smooth weighted round robin, which keeps the proportions in
    every short run of requests.

    @see traffic_part
*/
class weighted_split {
public:
    /** `phase` in [0, 1) shifts the sequence, so that nodes do not pick the same part at the same time. */
    explicit weighted_split(double phase) : phase_(phase) {}

    /** Returns the part that receives the next request of the route `name`; `parts` must not be empty. */
    const traffic_part& pick(const std::string& name, std::span<const traffic_part> parts);

private:
    double phase_;
    absl::flat_hash_map<std::string, std::vector<double>> credits_;
};

} // namespace berylcrank
