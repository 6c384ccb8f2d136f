#pragma once

#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>

namespace berylcrank {

/** An adaptive concurrency limit with additive increase and multiplicative decrease (AIMD).

    At the end of each window it checks for overload: many shed requests or timeouts, a high reported load,
    or, without load reports, a mean latency far above the lowest recent mean. Overload lowers the limit. A
    window without overload raises the limit if requests reached it.

    Load reports take precedence over latency. All nodes receive the same reports, so their shares of the
    capacity stay equal; with latency, each node compares against a baseline of its own.
    @see service_router
*/
class adaptive_limit {
public:
    struct options {
        double initial{4};
        double min{1}; ///< At least 1.
        double max{64};
        millis window{50};
        double overload_load{3};  ///< Mean reported requests per slot above which the window is overloaded.
        double overload_ratio{3}; ///< Without reports: ratio of mean latency to baseline, used likewise.
        double decrease{0.8};     ///< Factor applied to the limit after an overloaded window.
        double increase{1};       ///< Added to the limit after a window that reached it.
    };

    explicit adaptive_limit(const options& opts);

    /** Records a sent request. `in_flight` is the number of requests in flight, this one included. */
    void on_dispatch(std::uint32_t in_flight);

    /** Records a successful response. */
    void on_response(millis latency, instant now);

    /** Records a load report of `load` requests per slot, from a response or a probe. */
    void on_report(double load, instant now);

    /** Records a timeout. */
    void on_timeout(instant now);

    /** Records a shed request. A few in a window only mean that all slots were busy for a moment. */
    void on_shed(instant now);

    /** Changes the bounds and scales the limit by the change of `max`, e.g. when upstreams are added. */
    void set_bounds(double min, double max);

    /** Current limit, in [min, max]. */
    [[nodiscard]] double limit() const { return limit_; }

    /** True if one more request may be sent while `in_flight` are in flight. */
    [[nodiscard]] bool allows(std::uint32_t in_flight) const { return in_flight + 1 <= limit_; }

private:
    void close_window(instant now);

    options options_;
    double limit_;
    instant window_end_;
    double latency_sum_ms_{0};
    double load_sum_{0};
    std::uint32_t reports_{0};
    std::uint32_t responses_{0};
    std::uint32_t timeouts_{0};
    std::uint32_t sheds_{0};
    bool is_limit_reached_{false};
    double baseline_ms_{0}; ///< Lowest recent mean latency; 0: not known.
};

} // namespace berylcrank
