#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <string>

namespace berylcrank {

/** Estimates how long a caller has been waiting over all its attempts.

    Callers state in each attempt the time that they still wait. On a given route, first attempts state the
    longest times, with some spread. The time by which a later attempt falls short of the longest is the time
    that passed before it. The spread of first attempts is learned while no callers are refused, because
    nearly all attempts are first attempts then.
    @see admission_inputs
*/
class prior_wait_estimator {
public:
    /** Returns the estimated time since the caller's first attempt; 0 if this may be the first attempt or if
        that is unknown.

        @param route        name of the route
        @param timeout      time that the caller still waits, as stated in this attempt
        @param uncontended  whether no callers have been refused recently
    */
    millis estimate(const std::string& route, millis timeout, bool uncontended) {
        auto& entry = routes_[route];
        entry.max_timeout = std::max(entry.max_timeout, timeout);
        const auto shortfall = entry.max_timeout - timeout;
        if (uncontended) {
            const auto step = entry.max_timeout * learning_step;
            entry.spread = shortfall > entry.spread
                               ? entry.spread + step * quantile
                               : std::max(millis{}, entry.spread - step * (1 - quantile));
        }
        return shortfall > entry.spread ? shortfall - entry.spread * 0.5 : millis{};
    }

private:
    struct route_timeouts {
        millis max_timeout;
        millis spread;
    };

    static constexpr double quantile = 0.97;      // share of first attempts within the spread
    static constexpr double learning_step = 0.01; // share of the longest timeout

    absl::flat_hash_map<std::string, route_timeouts> routes_;
};

} // namespace berylcrank
