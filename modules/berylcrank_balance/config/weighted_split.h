#pragma once

#include "modules/berylcrank_balance/config/deployment_config.h"

#include <absl/container/flat_hash_map.h>
#include <span>

namespace berylcrank {

/** Distributes the requests of split routes by weight with smooth weighted round robin, so that every short
   run of requests keeps the proportions.

    @see traffic_part
*/
class weighted_split {
public:
    /** `phase` in [0, 1) shifts the sequence, so that nodes do not pick the same part at the same moment. */
    explicit weighted_split(double phase) : phase_(phase) {}

    /** The part that takes the next request of the route `name`; `parts` must not be empty. */
    const traffic_part& pick(const std::string& name, std::span<const traffic_part> parts);

private:
    double phase_;
    absl::flat_hash_map<std::string, std::vector<double>> credits_;
};

} // namespace berylcrank
