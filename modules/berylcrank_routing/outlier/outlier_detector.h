#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>

namespace berylcrank {

/** Decides when one upstream is ejected from the pool because its attempts fail, and for how long.

    The share of the pool that may be ejected at once is checked by the owner, see `most_ejected`.
    @see service_router
*/
class outlier_detector {
public:
    struct options {
        std::uint32_t failures_in_a_row{3};
        double error_rate{0.5};          ///< Recent rate that ejects even if some answers are good.
        std::uint32_t least_outcomes{8}; ///< Outcomes before the rate counts.
        millis first_ejection{500};      ///< Doubled for each further ejection soon after.
        millis longest_ejection{10000};
    };

    explicit outlier_detector(const options& it) : options_(it) {}

    void on_good(instant now);

    /** Returns true if the upstream should be ejected now; the owner then calls `eject` if the pool allows.
     */
    bool on_failure(instant now);

    /** Ejects until a time that grows with each ejection. */
    void eject(instant now);

    [[nodiscard]] bool is_ejected(instant now) const { return now < ejected_until_; }
    [[nodiscard]] std::uint32_t ejections() const { return ejections_; }

    /** Upstreams of a pool of `size` that may be ejected at once: a third, at least one of two. */
    static constexpr std::size_t most_ejected(std::size_t size) {
        return size < 2 ? 0 : size < 6 ? 1 : size / 3;
    }

private:
    void count(double failure);

    options options_;
    std::uint32_t in_a_row_{0};
    std::uint32_t outcomes_{0};
    double rate_{0};
    std::uint32_t ejections_{0};
    std::uint32_t doublings_{0};
    instant ejected_until_;
};

} // namespace berylcrank
