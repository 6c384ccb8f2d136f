#pragma once

#include "modules/berylcrank_core/time/millis.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <string>

namespace berylcrank {

/** Tells how long a caller has been waiting over all its attempts.

    Callers say how long they still wait. Of the same route, first attempts say the longest time; what an
   attempt says less has passed before it.
    @see admission_inputs
*/
class caller_age {
public:
    /** Time since the caller's first attempt, from what this attempt says; 0 if that is not known. */
    millis before(const std::string& route, millis left) {
        auto& longest = longest_[route];
        longest = std::max(longest, left);
        return longest - left;
    }

private:
    absl::flat_hash_map<std::string, millis> longest_;
};

} // namespace berylcrank
