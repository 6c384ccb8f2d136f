#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <absl/container/flat_hash_map.h>
#include <string>

namespace berylcrank {

/** Median request duration per route, normalized to an upstream of slowness 1.

    A running median is used because a few slow upstreams do not shift it.
    @see admission_inputs
*/
class median_durations {
public:
    /** Adds the duration of a request at an upstream of that slowness. */
    void record(const std::string& route, millis duration, double slowness) {
        const double ms = duration.value() / (slowness < 1 ? 1 : slowness);
        const auto [it, inserted] = medians_ms_.try_emplace(route, ms);
        if (!inserted) {
            it->second *= ms > it->second ? 1 + step : 1 / (1 + step);
        }
    }

    /** Returns the median duration of a route; 0 if unknown. */
    [[nodiscard]] millis median(const std::string& route) const {
        const auto it = medians_ms_.find(route);
        return it == medians_ms_.end() ? millis{} : millis::from_value(it->second);
    }

private:
    static constexpr double step = 0.02; // relative change of the median per request

    absl::flat_hash_map<std::string, double> medians_ms_;
};

} // namespace berylcrank
