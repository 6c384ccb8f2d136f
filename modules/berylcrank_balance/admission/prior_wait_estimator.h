#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <string>

namespace berylcrank {

/** Tells how long a caller has been waiting over all its attempts.

    Callers say how long they still wait. Of the same route, first attempts say the longest times, though not
   all the same; what an attempt says less than those has passed before it. How far first attempts lie apart
   is learnt while nobody is refused, when there are hardly any others.
    @see admission_inputs
*/
class prior_wait_estimator {
public:
    /** Time since the caller's first attempt, from what this attempt says; 0 if it may be the first or that
       is not known. `calm`: callers have not been refused lately. */
    millis estimate(const std::string& route, millis left, bool calm) {
        auto& held = held_[route];
        held.longest = std::max(held.longest, left);
        const auto missing = held.longest - left;
        if (calm) {
            const auto step = held.longest * learning_step;
            held.spread = missing > held.spread ? held.spread + step * covered
                                                : std::max(millis{}, held.spread - step * (1 - covered));
        }
        return missing > held.spread ? missing - held.spread * 0.5 : millis{};
    }

private:
    struct route_times {
        millis longest;
        millis spread;
    };

    static constexpr double covered = 0.97;       // share of the first attempts within the spread
    static constexpr double learning_step = 0.01; // of the longest time

    absl::flat_hash_map<std::string, route_times> held_;
};

} // namespace berylcrank
