#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>

namespace berylcrank {

/** Outlier detection for one upstream: decides when it is ejected from the pool because of failures, and for
    how long.

    The owner limits the number of upstreams that are ejected at the same time, see `max_ejected`.
    @see service_router
*/
class outlier_detector {
public:
    struct options {
        std::uint32_t consecutive_failures{3}; ///< Consecutive failures that cause an ejection.
        double error_rate{0.5};                ///< Error rate that causes an ejection, in [0, 1].
        std::uint32_t min_outcomes{8};         ///< Outcomes needed before the error rate is used.
        millis base_ejection{500};             ///< First ejection time; doubles with each repeated ejection.
        millis max_ejection{10000};            ///< Longest ejection time.
    };

    explicit outlier_detector(const options& opts) : options_(opts) {}

    /** Records a success. */
    void on_success(instant now);

    /** Records a failure. Returns true if the upstream should be ejected; the owner then calls `eject`
        unless too many upstreams of the pool are ejected. */
    bool on_failure(instant now);

    /** Ejects the upstream. The duration grows exponentially with repeated ejections. */
    void eject(instant now);

    [[nodiscard]] bool is_ejected(instant now) const { return now < ejected_until_; }
    [[nodiscard]] std::uint32_t ejections() const { return ejections_; }

    /** Maximum number of upstreams ejected at the same time from a pool of `size`: a third, but one in a
        pool of two to five and none in a smaller pool. */
    static constexpr std::size_t max_ejected(std::size_t size) {
        return size < 2 ? 0 : size < 6 ? 1 : size / 3;
    }

private:
    void record(double failure);

    options options_;
    std::uint32_t consecutive_failures_{0};
    std::uint32_t outcomes_{0};
    double error_rate_{0};
    std::uint32_t ejections_{0};
    std::uint32_t backoff_exponent_{0};
    instant ejected_until_;
};

} // namespace berylcrank
