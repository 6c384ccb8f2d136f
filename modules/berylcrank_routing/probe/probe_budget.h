#pragma once

#include "modules/berylcrank_core/random/random_source.h"
#include "modules/berylcrank_core/time/instant.h"

#include <cstdint>

namespace berylcrank {

/** One node's share of the time that probes of all nodes may take from one upstream.

    The share is the budget divided by the largest plausible number of nodes, so it does not depend on what a
    node knows about its peers. Two probes of a node start at least `cost / share` apart; hence in any window
   of that length, or a multiple, all nodes together stay within the budget. A new budget starts empty, so
   that restarts gain nothing, and at a random time, so that nodes do not probe together.
    @see service_router
*/
class probe_budget {
public:
    struct options {
        double percent{0};           ///< Share of the upstream's time for probes of all nodes.
        std::uint32_t max_nodes{17}; ///< Largest plausible number of nodes.
        millis cost{6};              ///< Assumed cost of a probe; a longer one is charged as measured.
    };

    probe_budget(const options& it, random_source& random, instant now);

    /** True if `try_start` would succeed. */
    [[nodiscard]] bool is_due(instant now) const {
        return !is_running_ && options_.percent > 0 && now >= next_;
    }

    /** Takes a probe from the budget; false if it has to wait. Its end is told by `on_done`. */
    bool try_start(instant now);

    /** The probe ended, well or not, after `took`. */
    void on_done(millis took);

    /** Least time between the starts of two probes; `instant::never` long without a budget. */
    [[nodiscard]] millis interval(millis cost) const;

    /** Time charged so far. */
    [[nodiscard]] millis charged() const { return charged_; }

    /** Takes a new share from the configuration; a probe that was near is not brought forward. */
    void set_percent(double percent, instant now);

private:
    options options_;
    instant started_;
    instant next_;
    millis charged_;
    bool is_running_{false};
};

} // namespace berylcrank
