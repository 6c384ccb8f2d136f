#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <absl/container/flat_hash_map.h>
#include <string>

namespace berylcrank {

/** How long requests of a route usually take at an upstream that is neither slow nor overfull.

    Keeps a running median, which a few slow upstreams do not move.
    @see admission_inputs
*/
class median_durations {
public:
    /** Counts a request that took `took` at an upstream of that slowness. */
    void record(const std::string& route, millis took, double slowness) {
        const double ms = took.value() / (slowness < 1 ? 1 : slowness);
        const auto [it, is_new] = held_.try_emplace(route, ms);
        if (!is_new) {
            it->second *= ms > it->second ? 1 + step : 1 / (1 + step);
        }
    }

    /** The median; 0 if nothing is known. */
    [[nodiscard]] millis median(const std::string& route) const {
        const auto it = held_.find(route);
        return it == held_.end() ? millis{} : millis::from_value(it->second);
    }

private:
    static constexpr double step = 0.02; // share by which one request moves the median

    absl::flat_hash_map<std::string, double> held_; // milliseconds
};

} // namespace berylcrank
