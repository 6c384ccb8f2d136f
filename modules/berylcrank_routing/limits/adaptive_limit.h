#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>

namespace berylcrank {

/** A concurrency limit that follows what the other side bears: additive increase, multiplicative decrease.

    Every `window` it looks for overload: sheds, timeouts, a high reported load, or, without reports, a mean
   latency far above the lowest mean seen lately. Overload lowers the limit; a window in which the limit was
   reached without overload raises it. Reports come first because all nodes see the same ones, which keeps the
   nodes' shares even; with latency, each node has a baseline of its own.
    @see service_router
*/
class adaptive_limit {
public:
    struct options {
        double initial{4};
        double least{1}; ///< At least 1.
        double most{64};
        millis window{50};
        double overload_load{3}; ///< Mean reported requests per slot that count as overload.
        double overload_ratio{
            3}; ///< Without reports: mean latency over the baseline that counts as overload.
        double decrease{0.8};
        double increase{1};
    };

    explicit adaptive_limit(const options& it);

    /** A request was sent while `in_flight` were, itself included. */
    void on_dispatch(std::uint32_t in_flight);

    /** A good answer. */
    void on_answer(millis latency, instant now);

    /** An answer or probe reported `load` requests per slot. */
    void on_report(double load, instant now);

    /** A timeout. */
    void on_timeout(instant now);

    /** A shed answer. A few of them only mean that slots were full for a moment. */
    void on_shed(instant now);

    /** Changes the bounds and scales the limit with them, e.g. because upstreams came or went. */
    void set_bounds(double least, double most);

    /** Current limit, in [least, most]. */
    [[nodiscard]] double limit() const { return limit_; }

    /** True if one more request may be sent. */
    [[nodiscard]] bool allows(std::uint32_t in_flight) const { return in_flight + 1 <= limit_; }

private:
    void close_window(instant now);

    options options_;
    double limit_;
    instant window_end_;
    double sum_ms_{0};
    double sum_load_{0};
    std::uint32_t reports_{0};
    std::uint32_t answers_{0};
    std::uint32_t timeouts_{0};
    std::uint32_t sheds_{0};
    bool was_reached_{false};
    double baseline_ms_{0};
};

} // namespace berylcrank
